package review;

/** How the end of a response of an engine can be told. */
enum Framing {
    CHUNKED,
    LENGTH,
    /** By the end of the connection. */
    NONE;

    /** The end of the name of a run that is framed so. */
    String tag() {
        return name().substring(0, 1);
    }

    String encode(String text) {
        return this == CHUNKED ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : text;
    }
}
