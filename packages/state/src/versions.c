/* The versions of the operators' configuration: one whole text, merge patches on it, and the digests of older calls. */
#include "state/versions.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "document/document.h"

SHAPE_TABLE(Version, VERSION_FIELDS)

Versions *versions_new(void *mem, size_t keep, size_t known)
{
    Versions *versions = talloc_zero(mem, Versions);
    versions->keep = keep;
    versions->known = known;
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

size_t versions_size(const Versions *versions)
{
    size_t size = 0;
    for (size_t i = versions->count; i > versions->whole; i--) {
        size += strlen(versions->rows[i - 1].text);
        if (!versions->rows[i - 1].patch)
            break;
    }
    return size;
}

uint64_t versions_digest(const Versions *versions, const char *digest)
{
    for (size_t i = versions->count; digest[0] != '\0' && i > 0; i--)
        if (strcmp(versions->rows[i - 1].digest, digest) == 0)
            return versions->rows[i - 1].version;
    return 0;
}

/* --- reading ------------------------------------------------------------------- */

/* The tree of a row, made from the last whole text before it or, where that is later,
 * from have, the tree of version have_version. The caller puts it. */
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
    json_object *result = document_merged_all(tree, patches, at - from);
    talloc_free(patches);
    json_object_put(tree);
    return result;
}

static const char *text_at(const Versions *versions, void *mem, size_t at)
{
    if (!versions->rows[at].patch) /* as it was sent */
        return talloc_strdup(mem, versions->rows[at].text);
    json_object *tree = tree_at(versions, at, NULL, 0);
    const char *text = document_text(mem, tree);
    json_object_put(tree);
    return text;
}

const char *versions_text(const Versions *versions, void *mem, uint64_t version)
{
    for (size_t i = versions->whole; i < versions->count; i++)
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

static void whole_measure(Versions *versions)
{
    versions->whole_bytes = versions->whole < versions->count ? strlen(versions->rows[versions->whole].text) : 0;
}

/* The row becomes the whole one, made from its patch if need be; the texts before it are
 * dropped. */
static void whole_set(Versions *versions, size_t at)
{
    Version *row = &versions->rows[at];
    if (row->patch) {
        text_set(versions, row, text_at(versions, versions, at));
        row->patch = false;
    }
    for (size_t i = versions->whole; i < at; i++)
        text_set(versions, &versions->rows[i], talloc_strdup(versions, ""));
    versions->whole = at;
    whole_measure(versions);
}

/* Drops the first rows; whole must be beyond them. */
static void rows_drop(Versions *versions, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        talloc_free((void *)(uintptr_t)versions->rows[i].text);
        talloc_free((void *)(uintptr_t)versions->rows[i].digest);
    }
    versions->count -= count;
    versions->whole -= count;
    memmove(versions->rows, versions->rows + count, versions->count * sizeof(*versions->rows));
}

/* Keeps the bounds: of readable versions, of known calls, of bytes. Texts and rows are dropped
 * CONFIG_HISTORY_STEP at a time, since making a patch whole costs a parse. */
static void trim(Versions *versions)
{
    if (versions->count - versions->whole > versions->keep + CONFIG_HISTORY_STEP)
        whole_set(versions, versions->count - versions->keep);
    if (versions->count > versions->known + CONFIG_HISTORY_STEP) {
        const size_t drop = versions->count - versions->known;
        if (versions->whole < drop)
            whole_set(versions, drop);
        rows_drop(versions, drop);
    }
    size_t at = versions->whole, beside = versions->bytes - versions->whole_bytes;
    if (beside <= CONFIG_HISTORY_BYTES)
        return;
    while (beside > CONFIG_HISTORY_BYTES / 2) /* at the newest it is 0 */
        beside -= strlen(versions->rows[++at].text);
    whole_set(versions, at);
}

static void row_add(Versions *versions, const Version *row)
{
    versions->rows = talloc_realloc(versions, versions->rows, Version, (unsigned)(versions->count + 1));
    Version *kept = &versions->rows[versions->count++];
    *kept = *row;
    kept->text = talloc_strdup(versions, row->text);
    kept->digest = talloc_strdup(versions, row->digest);
    versions->bytes += strlen(kept->text);
}

void versions_add(Versions *versions, const Version *row)
{
    row_add(versions, row);
    if (versions->count == 1)
        whole_measure(versions);
    trim(versions);
}

void versions_load(Versions *versions, const Version *rows, size_t count)
{
    for (size_t i = 0; i < count; i++)
        row_add(versions, &rows[i]);
    while (versions->whole < versions->count && versions->rows[versions->whole].text[0] == '\0')
        versions->whole++;
    whole_measure(versions);
}
