package org.baobabspindle.gateway;

import org.eclipse.jetty.client.ProcessingProtocolHandler;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Discards interim responses. An interim response that no handler accepts would count as the end of its exchange, so that
 * neither the final response nor a timeout could end the call.
 *
 * <p>An interim response has no content. If it states a length or a transfer coding, the server has sent its final
 * response with an interim status, and no other response follows; the call then fails at once.
 */
final class InterimResponseHandler extends ProcessingProtocolHandler {
    @Override
    public String getName() {
        return "interim";
    }

    @Override
    public boolean accept(Request request, Response response) {
        return HttpStatus.isInterim(response.getStatus());
    }

    @Override
    protected void onProcessing(Request request, HttpFields headers) {
        boolean content =
                headers.getLongField(HttpHeader.CONTENT_LENGTH) > 0 || headers.contains(HttpHeader.TRANSFER_ENCODING);
        if (content) {
            request.abort(new BadMessageException("interim response with content"));
        }
    }
}
