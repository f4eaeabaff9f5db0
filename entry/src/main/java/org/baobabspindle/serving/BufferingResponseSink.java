package org.baobabspindle.serving;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;
import org.baobabspindle.core.request.StoredAnswer;

/**
 * Stores a response up to a maximum size and forwards it to another sink until that sink fails. A caller that
 * disconnects does not cancel the request: it can resend the request and receive the stored answer.
 */
public final class BufferingResponseSink implements ResponseSink {
    private Optional<ResponseSink> next;
    private final int maxBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private String contentType = "";
    private boolean overflowed;

    /**
     * Creates a sink.
     *
     * @param next the sink that also receives the response, if any
     * @param maxBytes the maximum size of the body; nothing is stored of a longer response
     */
    public BufferingResponseSink(Optional<ResponseSink> next, int maxBytes) {
        this.next = next;
        this.maxBytes = maxBytes;
    }

    @Override
    public void begin(int code, String type) {
        status = code;
        contentType = type;
        forward(n -> n.begin(code, type));
    }

    @Override
    public void write(byte[] bytes) {
        overflowed = overflowed || body.size() + bytes.length > maxBytes;
        if (!overflowed) {
            body.writeBytes(bytes);
        }
        forward(n -> n.write(bytes));
    }

    private interface SinkOperation {
        void apply(ResponseSink next) throws IOException;
    }

    private void forward(SinkOperation operation) {
        if (next.isEmpty()) {
            return;
        }
        try {
            operation.apply(next.get());
        } catch (IOException e) {
            next = Optional.empty();
        }
    }

    @Override
    public boolean isCommitted() {
        return status != 0;
    }

    /**
     * Returns the stored answer.
     *
     * @return the complete answer, or empty if the response never started or was too large
     */
    public Optional<StoredAnswer> storedAnswer() {
        if (overflowed || status == 0) {
            return Optional.empty();
        }
        return Optional.of(StoredAnswer.of(status, contentType, body.toByteArray()));
    }
}
