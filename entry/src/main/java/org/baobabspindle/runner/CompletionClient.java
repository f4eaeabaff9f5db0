package org.baobabspindle.runner;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.request.Attempt;
import org.baobabspindle.core.request.AttemptEvent;
import org.baobabspindle.http.Json;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpStatus;

/** Runs completions on model engines and forwards their tokens to a listener. */
public final class CompletionClient {
    private static final String DATA_PREFIX = "data: ";

    private final HttpClient http;

    /**
     * Creates a client.
     *
     * @param http an HTTP client that opens a connection for each request
     */
    public CompletionClient(HttpClient http) {
        this.http = http;
    }

    /** Receives the tokens of an answer. */
    public interface TokenListener {
        /**
         * Receives the next token.
         *
         * @param index the index of the token in the whole answer, from 0
         * @param token the token
         * @throws CallerDisconnectedException if the caller disconnected
         */
        void tokenReceived(int index, String token) throws CallerDisconnectedException;
    }

    /** Signals that the caller disconnected. */
    public static final class CallerDisconnectedException extends IOException {
        private static final long serialVersionUID = 1L;

        /**
         * Creates the exception.
         *
         * @param cause why writing to the caller failed
         */
        public CallerDisconnectedException(IOException cause) {
            super("the caller disconnected", cause);
        }
    }

    /**
     * Runs a completion. The attempt is settled when this method returns.
     *
     * @param engine the head of the group
     * @param completion the request
     * @param attempt the attempt, which must not have been handed over yet
     * @param listener receives the tokens in order, each once
     * @return why the attempt did not complete, or an empty string if it did
     */
    public String run(PlatformInstance engine, CompletionRequest completion, Attempt attempt, TokenListener listener) {
        InputStreamResponseListener responseListener = new InputStreamResponseListener();
        Request request = http.POST("http://" + engine.host() + ':' + engine.port() + "/v1/completions")
                .timeout(completion.timeout().toMillis(), TimeUnit.MILLISECONDS)
                .onRequestBegin(r -> handOverOrAbort(r, attempt))
                .body(new StringRequestContent("application/json", body(completion)));
        request.send(responseListener);
        try (InputStream in = responseListener.getInputStream()) {
            Response response = responseListener.get(completion.timeout().toMillis(), TimeUnit.MILLISECONDS);
            if (response.getStatus() == HttpStatus.CONFLICT_409) {
                attempt.apply(AttemptEvent.REFUSED_UNRUN);
                return "the engine refused the request before running it";
            }
            if (response.getStatus() != HttpStatus.OK_200) {
                attempt.apply(AttemptEvent.CONNECTION_BROKEN);
                return "the engine answered with status " + response.getStatus();
            }
            attempt.apply(AttemptEvent.ANSWER_STARTED);
            readEvents(in, completion, listener);
            attempt.apply(AttemptEvent.ANSWER_ENDED);
            return "";
        } catch (CallerDisconnectedException e) {
            return abort(request, attempt, AttemptEvent.CALLER_LEFT, e);
        } catch (TimeoutException e) {
            return abort(request, attempt, AttemptEvent.DEADLINE_PASSED, e);
        } catch (ExecutionException | IOException e) {
            boolean timedOut = e.getCause() instanceof TimeoutException;
            return abort(request, attempt, timedOut ? AttemptEvent.DEADLINE_PASSED : AttemptEvent.CONNECTION_BROKEN, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return abort(request, attempt, AttemptEvent.CONNECTION_BROKEN, e);
        }
    }

    /** Settles the attempt before it aborts the request, so that a late answer has no effect. */
    private static String abort(Request request, Attempt attempt, AttemptEvent event, Exception cause) {
        attempt.apply(event);
        request.abort(cause);
        return failureReason(event, cause);
    }

    private static String failureReason(AttemptEvent event, Exception cause) {
        if (event == AttemptEvent.CALLER_LEFT) {
            return "the caller disconnected";
        }
        if (event == AttemptEvent.DEADLINE_PASSED) {
            return "the deadline passed";
        }
        return "the connection to the engine failed: " + cause.getClass().getSimpleName();
    }

    private static void readEvents(InputStream in, CompletionRequest completion, TokenListener listener)
            throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
        int expected = completion.resumeFrom();
        String line = lines.readLine();
        while (line != null) {
            if (line.startsWith(DATA_PREFIX)) {
                JsonNode event = Json.mapper().readTree(line.substring(DATA_PREFIX.length()));
                checkAttempt(event, completion);
                if (event.path("end").asBoolean()) {
                    checkCount(event, expected);
                    return;
                }
                if (event.path("index").asInt(-1) != expected) {
                    throw new IOException("token " + expected + " is missing");
                }
                listener.tokenReceived(expected, event.path("token").asText());
                expected++;
            }
            line = lines.readLine();
        }
        throw new IOException("the answer ended without an end event");
    }

    private static void checkAttempt(JsonNode event, CompletionRequest completion) throws IOException {
        if (!event.path("attempt").asText().equals(completion.attempt())) {
            throw new IOException("the answer belongs to another attempt");
        }
    }

    private static void checkCount(JsonNode event, int expected) throws IOException {
        if (event.path("count").asInt(-1) != expected) {
            throw new IOException("the answer ends after " + expected + " tokens, not " + event.path("count"));
        }
    }

    private static String body(CompletionRequest completion) {
        return Json.object()
                .put("attempt", completion.attempt())
                .put("group", completion.group().value())
                .put("prompt", completion.prompt())
                .put("max_tokens", completion.maxTokens())
                .put("resume_from", completion.resumeFrom())
                .toString();
    }

    private static void handOverOrAbort(Request request, Attempt attempt) {
        if (!attempt.tryHandOver()) {
            request.abort(new IllegalStateException("the attempt is already settled"));
        }
    }
}
