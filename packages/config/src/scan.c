/* The grammar of JSON (RFC 8259), by recursive descent. Each function takes one thing off the
 * text; false: it is not there, and wrong says so. */
#include "scan.h"

#include <glib.h>
#include <string.h>

/* Notes the first error; false, for the caller to return. */
static bool stop(Scan *scan, const char *wrong)
{
    if (scan->wrong == NULL)
        scan->wrong = wrong;
    return false;
}

/* The next byte; 0 at the end, since there is no zero byte inside. */
static char peek(const Scan *scan)
{
    return scan->at < scan->count ? scan->text[scan->at] : '\0';
}

static void skip_blanks(Scan *scan)
{
    while (peek(scan) == ' ' || peek(scan) == '\t' || peek(scan) == '\n' || peek(scan) == '\r')
        scan->at++;
}

static bool take_word(Scan *scan, const char *word)
{
    const size_t length = strlen(word);
    if (scan->count - scan->at < length || memcmp(scan->text + scan->at, word, length) != 0)
        return stop(scan, "is no value");
    scan->at += length;
    return true;
}

static bool take_digits(Scan *scan)
{
    const size_t from = scan->at;
    while (peek(scan) >= '0' && peek(scan) <= '9')
        scan->at++;
    return scan->at > from || stop(scan, "a digit is missing");
}

static bool take_number(Scan *scan)
{
    if (peek(scan) == '-')
        scan->at++;
    const bool zero = peek(scan) == '0';
    const size_t from = scan->at;
    if (!take_digits(scan))
        return false;
    if (zero && scan->at > from + 1)
        return stop(scan, "a number begins with 0");
    if (peek(scan) == '.') {
        scan->at++;
        if (!take_digits(scan))
            return false;
    }
    if (peek(scan) == 'e' || peek(scan) == 'E') {
        scan->at++;
        if (peek(scan) == '+' || peek(scan) == '-')
            scan->at++;
        if (!take_digits(scan))
            return false;
    }
    return true;
}

/* The four hexadecimal digits after \u. */
static bool take_unit(Scan *scan, unsigned *unit)
{
    *unit = 0;
    for (int i = 0; i < 4; i++, scan->at++) {
        const int digit = g_ascii_xdigit_value(peek(scan));
        if (digit < 0)
            return stop(scan, "four digits must follow \\u");
        *unit = *unit * 16 + (unsigned)digit;
    }
    return true;
}

/* What follows a backslash. A key must not have a zero in it: json-c would cut it there. */
static bool take_escape(Scan *scan, bool key)
{
    const char letter = peek(scan);
    if (letter == '\0' || strchr("\"\\/bfnrtu", letter) == NULL)
        return stop(scan, "is no escape");
    scan->at++;
    unsigned unit, low;
    if (letter != 'u')
        return true;
    if (!take_unit(scan, &unit))
        return false;
    if (key && unit == 0)
        return stop(scan, "a zero in a key");
    if (unit < 0xd800 || unit > 0xdfff)
        return true;
    if (unit > 0xdbff || peek(scan) != '\\')
        return stop(scan, "half a pair of \\u");
    scan->at++;
    if (peek(scan) != 'u')
        return stop(scan, "half a pair of \\u");
    scan->at++;
    if (!take_unit(scan, &low))
        return false;
    return (low >= 0xdc00 && low <= 0xdfff) || stop(scan, "half a pair of \\u");
}

static bool take_string(Scan *scan, bool key)
{
    scan->at++; /* the opening quote */
    for (;;) {
        if (scan->at >= scan->count)
            return stop(scan, "the text ends too early");
        const char letter = scan->text[scan->at];
        if (letter == '"') {
            scan->at++;
            return true;
        }
        if ((unsigned char)letter < ' ')
            return stop(scan, "a control character in a string");
        scan->at++;
        if (letter == '\\' && !take_escape(scan, key))
            return false;
    }
}

static bool take_value(Scan *scan);

/* The members of an object, or the elements of an array, up to the closing bracket. */
static bool take_many(Scan *scan, char close, bool members)
{
    if (++scan->depth > scan->depth_most)
        return stop(scan, "is nested too deeply");
    scan->at++;
    skip_blanks(scan);
    bool more = peek(scan) != close;
    while (more) {
        skip_blanks(scan);
        if (members) {
            if (peek(scan) != '"')
                return stop(scan, scan->at < scan->count ? "a key is missing" : "the text ends too early");
            if (!take_string(scan, true))
                return false;
            scan->members++;
            skip_blanks(scan);
            if (peek(scan) != ':')
                return stop(scan, scan->at < scan->count ? "a colon is missing" : "the text ends too early");
            scan->at++;
        }
        if (!take_value(scan))
            return false;
        skip_blanks(scan);
        more = peek(scan) == ',';
        if (more)
            scan->at++;
        else if (peek(scan) != close)
            return stop(scan, scan->at < scan->count ? "a comma or the end is missing" : "the text ends too early");
    }
    scan->at++;
    scan->depth--;
    return true;
}

static bool take_value(Scan *scan)
{
    skip_blanks(scan);
    const char letter = peek(scan);
    switch (letter) {
    case '{':
        return take_many(scan, '}', true);
    case '[':
        return take_many(scan, ']', false);
    case '"':
        return take_string(scan, false);
    case 't':
        return take_word(scan, "true");
    case 'f':
        return take_word(scan, "false");
    case 'n':
        return take_word(scan, "null");
    default:
        if (letter == '-' || (letter >= '0' && letter <= '9'))
            return take_number(scan);
        return stop(scan, scan->at < scan->count ? "is no value" : "the text ends too early");
    }
}

bool scan_text(Scan *scan)
{
    const char *end;
    if (!g_utf8_validate(scan->text, (gssize)scan->count, &end)) {
        scan->at = (size_t)(end - scan->text);
        return stop(scan, *end == '\0' ? "a zero byte in the text" : "is no UTF-8");
    }
    if (!take_value(scan))
        return false;
    skip_blanks(scan);
    return scan->at == scan->count || stop(scan, "something follows the document");
}
