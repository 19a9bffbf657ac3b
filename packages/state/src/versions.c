/* The version history of the operators' configuration: one complete text, merge patches on it, and the digests of older
 * calls. */
#include "state/versions.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "document/document.h"

SHAPE_TABLE(Version, VERSION_FIELDS)

Versions *versions_new(void *mem, size_t text_limit, size_t digest_limit)
{
    Versions *versions = talloc_zero(mem, Versions);
    versions->text_limit = text_limit;
    versions->digest_limit = digest_limit;
    return versions;
}

uint64_t versions_newest(const Versions *versions)
{
    return versions->count > 0 ? versions->rows[versions->count - 1].version : 0;
}

const ConfigLimits *versions_limits(const Versions *versions)
{
    static const ConfigLimits NONE = {0};
    return versions->count > 0 ? &versions->rows[versions->count - 1].limits : &NONE;
}

size_t versions_newest_size_max(const Versions *versions)
{
    size_t size = 0;
    for (size_t i = versions->count; i > versions->first_text; i--) {
        size += strlen(versions->rows[i - 1].text);
        if (!versions->rows[i - 1].patch)
            break;
    }
    return size;
}

uint64_t versions_find_digest(const Versions *versions, const char *digest)
{
    for (size_t i = versions->count; digest[0] != '\0' && i > 0; i--)
        if (strcmp(versions->rows[i - 1].digest, digest) == 0)
            return versions->rows[i - 1].version;
    return 0;
}

/* --- reading ------------------------------------------------------------------- */

/* Returns the tree of a row, built from the last complete text up to it or, if that is later, from have, the tree of
 * version have_version. The caller releases it by json_object_put. */
static json_object *tree_at(const Versions *versions, size_t at, json_object *have, uint64_t have_version)
{
    size_t from = at;
    while (versions->rows[from].patch && !(have != NULL && versions->rows[from].version == have_version))
        from--;
    const Version *first = &versions->rows[from];
    json_object *tree =
        have != NULL && first->version == have_version ? json_object_get(have) : document_parse(first->text);
    const char **patches = talloc_array(NULL, const char *, (unsigned)(at - from));
    for (size_t i = from; i < at; i++)
        patches[i - from] = versions->rows[i + 1].text;
    json_object *result = document_merge_all(tree, patches, at - from);
    talloc_free(patches);
    json_object_put(tree);
    return result;
}

static const char *text_at(const Versions *versions, void *mem, size_t at)
{
    if (!versions->rows[at].patch) /* return the text unchanged, as the caller sent it */
        return talloc_strdup(mem, versions->rows[at].text);
    json_object *tree = tree_at(versions, at, NULL, 0);
    const char *text = document_text(mem, tree);
    json_object_put(tree);
    return text;
}

const char *versions_text(const Versions *versions, void *mem, uint64_t version)
{
    for (size_t i = versions->first_text; i < versions->count; i++)
        if (versions->rows[i].version == version)
            return text_at(versions, mem, i);
    return NULL;
}

json_object *versions_tree(const Versions *versions, json_object *have, uint64_t have_version)
{
    return versions->count > 0 ? tree_at(versions, versions->count - 1, have, have_version) : NULL;
}

/* --- adding and dropping ---------------------------------------------------------------------- */

static void text_set(Versions *versions, Version *row, const char *text)
{
    versions->bytes -= strlen(row->text);
    talloc_free((void *)(uintptr_t)row->text);
    row->text = text;
    versions->bytes += strlen(text);
}

static void measure_first_text(Versions *versions)
{
    versions->first_text_bytes =
        versions->first_text < versions->count ? strlen(versions->rows[versions->first_text].text) : 0;
}

/* Makes the row the first one with a text: replaces a patch by the complete text and drops the texts before it. */
static void set_first_text(Versions *versions, size_t at)
{
    Version *row = &versions->rows[at];
    if (row->patch) {
        text_set(versions, row, text_at(versions, versions, at));
        row->patch = false;
    }
    for (size_t i = versions->first_text; i < at; i++)
        text_set(versions, &versions->rows[i], talloc_strdup(versions, ""));
    versions->first_text = at;
    measure_first_text(versions);
}

/* Drops the first count rows; the row first_text must not be among them. */
static void rows_drop(Versions *versions, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        talloc_free((void *)(uintptr_t)versions->rows[i].text);
        talloc_free((void *)(uintptr_t)versions->rows[i].digest);
    }
    versions->count -= count;
    versions->first_text -= count;
    memmove(versions->rows, versions->rows + count, versions->count * sizeof(*versions->rows));
}

/* Enforces the bounds on the numbers of texts and digests and on bytes. Texts and rows are dropped in batches of more
 * than CONFIG_HISTORY_STEP, since replacing a patch by the complete text costs a parse. */
static void trim(Versions *versions)
{
    if (versions->count - versions->first_text > versions->text_limit + CONFIG_HISTORY_STEP)
        set_first_text(versions, versions->count - versions->text_limit);
    if (versions->count > versions->digest_limit + CONFIG_HISTORY_STEP) {
        const size_t drop = versions->count - versions->digest_limit;
        if (versions->first_text < drop)
            set_first_text(versions, drop);
        rows_drop(versions, drop);
    }
    size_t at = versions->first_text, later_bytes = versions->bytes - versions->first_text_bytes;
    if (later_bytes <= CONFIG_HISTORY_BYTES)
        return;
    while (later_bytes > CONFIG_HISTORY_BYTES / 2) /* 0 at the newest row, so the loop ends there */
        later_bytes -= strlen(versions->rows[++at].text);
    set_first_text(versions, at);
}

static void row_add(Versions *versions, const Version *row)
{
    versions->rows = talloc_realloc(versions, versions->rows, Version, (unsigned)(versions->count + 1));
    Version *stored = &versions->rows[versions->count++];
    *stored = *row;
    stored->text = talloc_strdup(versions, row->text);
    stored->digest = talloc_strdup(versions, row->digest);
    versions->bytes += strlen(stored->text);
}

void versions_add(Versions *versions, const Version *row)
{
    row_add(versions, row);
    if (versions->count == 1)
        measure_first_text(versions);
    trim(versions);
}

void versions_load(Versions *versions, const Version *rows, size_t count)
{
    for (size_t i = 0; i < count; i++)
        row_add(versions, &rows[i]);
    while (versions->first_text < versions->count && versions->rows[versions->first_text].text[0] == '\0')
        versions->first_text++;
    measure_first_text(versions);
}
