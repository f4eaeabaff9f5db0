package org.baobabspindle.serving;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;
import org.baobabspindle.core.request.StoredAnswer;

/**
 * Keeps an answer up to a size, and passes it on while there is someone to pass it to. A caller that leaves does not end
 * the request: it may come back for the kept answer.
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
     * @param next takes the answer as well, if present
     * @param maxBytes the most bytes kept; of longer answers nothing is kept
     */
    public BufferingResponseSink(Optional<ResponseSink> next, int maxBytes) {
        this.next = next;
        this.maxBytes = maxBytes;
    }

    @Override
    public void begin(int code, String type) {
        status = code;
        contentType = type;
        pass(n -> n.begin(code, type));
    }

    @Override
    public void write(byte[] bytes) {
        overflowed = overflowed || body.size() + bytes.length > maxBytes;
        if (!overflowed) {
            body.writeBytes(bytes);
        }
        pass(n -> n.write(bytes));
    }

    private interface Step {
        void to(ResponseSink next) throws IOException;
    }

    private void pass(Step step) {
        if (next.isEmpty()) {
            return;
        }
        try {
            step.to(next.get());
        } catch (IOException e) {
            next = Optional.empty();
        }
    }

    @Override
    public boolean isCommitted() {
        return status != 0;
    }

    /**
     * Returns what was kept.
     *
     * @return the whole answer, or empty if it never began or was too large
     */
    public Optional<StoredAnswer> storedAnswer() {
        if (overflowed || status == 0) {
            return Optional.empty();
        }
        return Optional.of(StoredAnswer.of(status, contentType, body.toByteArray()));
    }
}
