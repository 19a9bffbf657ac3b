#include "table/revisions.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "document/document.h"

SHAPE_TABLE(Revision, REVISION_FIELDS)

Revisions *revisions_new(void *mem, size_t keep, size_t known)
{
    Revisions *revisions = talloc_zero(mem, Revisions);
    revisions->keep = keep;
    revisions->known = known;
    return revisions;
}

uint64_t revisions_newest(const Revisions *revisions)
{
    return revisions->count > 0 ? revisions->rows[revisions->count - 1].revision : 0;
}

const ConfigLimits *revisions_limits(const Revisions *revisions)
{
    static const ConfigLimits NONE = {0};
    return revisions->count > 0 ? &revisions->rows[revisions->count - 1].limits : &NONE;
}

size_t revisions_size(const Revisions *revisions)
{
    size_t size = 0;
    for (size_t i = revisions->count; i > revisions->whole; i--) {
        size += strlen(revisions->rows[i - 1].text);
        if (!revisions->rows[i - 1].patch)
            break;
    }
    return size;
}

uint64_t revisions_digest(const Revisions *revisions, const char *digest)
{
    for (size_t i = revisions->count; digest[0] != '\0' && i > 0; i--)
        if (strcmp(revisions->rows[i - 1].digest, digest) == 0)
            return revisions->rows[i - 1].revision;
    return 0;
}

/* --- reading ------------------------------------------------------------------- */

/* The tree at a row, from the last whole text before it or, where that is later,
 * from the row that have is of. */
static json_object *tree_at(const Revisions *revisions, size_t at, json_object *have, uint64_t have_revision)
{
    size_t from = at;
    while (revisions->rows[from].patch && !(have != NULL && revisions->rows[from].revision == have_revision))
        from--;
    const Revision *first = &revisions->rows[from];
    json_object *tree =
        have != NULL && first->revision == have_revision ? json_object_get(have) : document_parse(first->text);
    const char **patches = talloc_array(NULL, const char *, (unsigned)(at - from));
    for (size_t i = from; i < at; i++)
        patches[i - from] = revisions->rows[i + 1].text;
    json_object *result = document_merged_all(tree, patches, at - from);
    talloc_free(patches);
    json_object_put(tree);
    return result;
}

static const char *text_at(const Revisions *revisions, void *mem, size_t at)
{
    if (!revisions->rows[at].patch) /* as it was sent */
        return talloc_strdup(mem, revisions->rows[at].text);
    json_object *tree = tree_at(revisions, at, NULL, 0);
    const char *text = document_text(mem, tree);
    json_object_put(tree);
    return text;
}

const char *revisions_text(const Revisions *revisions, void *mem, uint64_t revision)
{
    for (size_t i = revisions->whole; i < revisions->count; i++)
        if (revisions->rows[i].revision == revision)
            return text_at(revisions, mem, i);
    return NULL;
}

json_object *revisions_tree(const Revisions *revisions, json_object *have, uint64_t have_revision)
{
    return revisions->count > 0 ? tree_at(revisions, revisions->count - 1, have, have_revision) : NULL;
}

/* --- keeping ---------------------------------------------------------------------- */

static void text_set(Revisions *revisions, Revision *row, const char *text)
{
    revisions->bytes -= strlen(row->text);
    talloc_free((void *)(uintptr_t)row->text);
    row->text = text;
    revisions->bytes += strlen(text);
}

static void whole_measure(Revisions *revisions)
{
    revisions->whole_bytes = revisions->whole < revisions->count ? strlen(revisions->rows[revisions->whole].text) : 0;
}

/* The row becomes the first whole one; the texts before it are dropped. */
static void whole_set(Revisions *revisions, size_t at)
{
    Revision *row = &revisions->rows[at];
    if (row->patch) {
        text_set(revisions, row, text_at(revisions, revisions, at));
        row->patch = false;
    }
    for (size_t i = revisions->whole; i < at; i++)
        text_set(revisions, &revisions->rows[i], talloc_strdup(revisions, ""));
    revisions->whole = at;
    whole_measure(revisions);
}

static void rows_drop(Revisions *revisions, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        talloc_free((void *)(uintptr_t)revisions->rows[i].text);
        talloc_free((void *)(uintptr_t)revisions->rows[i].digest);
    }
    revisions->count -= count;
    revisions->whole -= count;
    memmove(revisions->rows, revisions->rows + count, revisions->count * sizeof(*revisions->rows));
}

/* Texts and rows go by CONFIG_HISTORY_STEP at once: making a patch whole costs a reading. */
static void trim(Revisions *revisions)
{
    if (revisions->count - revisions->whole > revisions->keep + CONFIG_HISTORY_STEP)
        whole_set(revisions, revisions->count - revisions->keep);
    if (revisions->count > revisions->known + CONFIG_HISTORY_STEP) {
        const size_t drop = revisions->count - revisions->known;
        if (revisions->whole < drop)
            whole_set(revisions, drop);
        rows_drop(revisions, drop);
    }
    size_t at = revisions->whole, beside = revisions->bytes - revisions->whole_bytes;
    if (beside <= CONFIG_HISTORY_BYTES)
        return;
    while (beside > CONFIG_HISTORY_BYTES / 2) /* at the newest it is 0 */
        beside -= strlen(revisions->rows[++at].text);
    whole_set(revisions, at);
}

static void row_add(Revisions *revisions, const Revision *row)
{
    revisions->rows = talloc_realloc(revisions, revisions->rows, Revision, (unsigned)(revisions->count + 1));
    Revision *kept = &revisions->rows[revisions->count++];
    *kept = *row;
    kept->text = talloc_strdup(revisions, row->text);
    kept->digest = talloc_strdup(revisions, row->digest);
    revisions->bytes += strlen(kept->text);
}

void revisions_add(Revisions *revisions, const Revision *row)
{
    row_add(revisions, row);
    if (revisions->count == 1)
        whole_measure(revisions);
    trim(revisions);
}

void revisions_load(Revisions *revisions, const Revision *rows, size_t count)
{
    for (size_t i = 0; i < count; i++)
        row_add(revisions, &rows[i]);
    while (revisions->whole < revisions->count && revisions->rows[revisions->whole].text[0] == '\0')
        revisions->whole++;
    whole_measure(revisions);
}
