import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parser and writer for JSON. Objects are maps, arrays are lists, numbers are doubles or longs. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    static long number(Object value) {
        return value == null ? 0 : ((Number) value).longValue();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            if (map.isEmpty()) out.append("{");
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(":");
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append("}");
        } else if (value instanceof Iterable<?> list) {
            out.append("[");
            String separator = "";
            for (Object item : list) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append("]");
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        char c = skipBlanks();
        if (c == '{') return map();
        if (c == '[') return list();
        if (c == '"') return string();
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) position++;
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private char skipBlanks() {
        while (Character.isWhitespace(text.charAt(position))) position++;
        return text.charAt(position);
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        position++;
        while (skipBlanks() != '}') {
            if (text.charAt(position) == ',') {
                position++;
                continue;
            }
            String name = string();
            skipBlanks();
            position++;
            map.put(name, value());
        }
        position++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        position++;
        while (skipBlanks() != ']') {
            if (text.charAt(position) == ',') position++;
            else list.add(value());
        }
        position++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char c = text.charAt(position++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(position++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                }
                default -> out.append(escaped);
            }
        }
        position++;
        return out.toString();
    }
}
