/* Checks of configurations, by their versions and by their effects: which tenants may submit jobs, and which quotas
 * apply. */
#include "checker.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

void checker_config_acknowledged(Checker *checker, uint64_t version)
{
    if (version <= checker->version)
        checker_violated(checker, INVARIANT_CONFIG_LOST,
                         "configuration version %" PRIu64 " was acknowledged after %" PRIu64, version,
                         checker->version);
    checker->version = version;
}

void checker_config_read(Checker *checker, uint64_t version)
{
    if (version < checker->version)
        checker_violated(checker, INVARIANT_CONFIG_LOST,
                         "configuration version %" PRIu64 " is in force after %" PRIu64 " was acknowledged", version,
                         checker->version);
}

void checker_config_conflict(Checker *checker, uint64_t base)
{
    checker_violated(checker, INVARIANT_CONFIG_LOST,
                     "two changes based on configuration version %" PRIu64 " were both acknowledged", base);
}

SeenTenant *seen_tenant(Checker *checker, const char *name)
{
    SeenTenant *tenant = map_get(checker->tenants, name);
    if (tenant == NULL) {
        tenant = talloc_zero(checker, SeenTenant);
        map_set(checker->tenants, name, tenant);
    }
    return tenant;
}

void checker_tenant_changed(Checker *checker, const char *name, TenantChangeState word)
{
    SeenTenant *tenant = seen_tenant(checker, name);
    switch (word) {
    case TENANT_CHANGE_SENT:
        tenant->change_pending = true;
        break;
    case TENANT_PRESENT:
    case TENANT_ABSENT:
        tenant->member = word == TENANT_PRESENT;
        tenant->ever_member |= tenant->member;
        tenant->change_pending = false;
        tenant->member_since_ms = checker_now(checker);
        break;
    default:
        tenant->change_pending = false;
        break;
    }
}

void checker_tenant_probed(Checker *checker, const char *name, int64_t sent_ms, bool taken)
{
    const SeenTenant *tenant = seen_tenant(checker, name);
    if (tenant->change_pending ||
        (tenant->member_since_ms != 0 && sent_ms < tenant->member_since_ms + CONFIG_LATE_MS) || taken == tenant->member)
        return;
    if (taken && !tenant->ever_member)
        checker_violated(checker, INVARIANT_REFUSED_CONFIG,
                         "a job of tenant %s, which only a refused configuration contains, was accepted", name);
    else
        checker_violated(checker, INVARIANT_CONFIG_LOST,
                         "a job of tenant %s is %s %" PRId64 " ms after the opposite was acknowledged", name,
                         taken ? "taken" : "refused", checker_now(checker) - tenant->member_since_ms);
}

/* The looser of two limits of a quota. */
static uint64_t looser_limit(uint64_t a, uint64_t b)
{
    return a == 0 || b == 0 ? 0 : a > b ? a : b; /* 0 stands for no limit */
}

void checker_quota_changed(Checker *checker, const char *name, Resources quota, TenantChangeState word)
{
    SeenTenant *tenant = seen_tenant(checker, name);
    if (word == TENANT_CHANGE_REFUSED) {
        tenant->quota_pending = false;
        return;
    }
    if (word == TENANT_CHANGE_SENT || tenant->quota_ms != 0)
        tenant->loosest_quota = (Resources){looser_limit(tenant->loosest_quota.cpu_milli, quota.cpu_milli),
                                            looser_limit(tenant->loosest_quota.mem_mb, quota.mem_mb),
                                            looser_limit(tenant->loosest_quota.gpu, quota.gpu)};
    else
        tenant->loosest_quota = quota;
    tenant->quota_pending = word == TENANT_CHANGE_SENT;
    if (word != TENANT_PRESENT)
        return;
    tenant->quota = quota;
    tenant->quota_ms = checker_now(checker);
}

/* Resources that the tenant's attempts use on all workers of the cell. Each attempt counts, also a copy, and an attempt
 * that the leader has given up but whose worker still runs it. Attempts on frozen machines do not count. */
static Resources used_by(Checker *checker, const char *cell, const char *name)
{
    Resources used = {0};
    void *mem = talloc_new(NULL);
    const char **ids;
    const size_t count = map_keys(checker->unsettled, mem, &ids);
    for (size_t i = 0; i < count; i++) {
        const SeenJob *job = map_get(checker->jobs, ids[i]);
        const Job *known = job->settled ? NULL : checker->settings.job(checker->settings.arg, job->id);
        if (known == NULL || strcmp(known->spec.tenant, name) != 0 || strcmp(known->spec.cell, cell) != 0)
            continue;
        const char **tasks;
        const size_t task_count = map_keys(job->tasks, mem, &tasks);
        for (size_t t = 0; t < task_count; t++)
            for (const SeenRun *run = ((const SeenTask *)map_get(job->tasks, tasks[t]))->runs; run != NULL;
                 run = run->next)
                if (!checker->settings.frozen(checker->settings.arg, run->worker))
                    used = resources_add(used, run->resources);
    }
    talloc_free(mem);
    return used;
}

void quota_check_start(Checker *checker, const Job *job, Resources resources)
{
    SeenTenant *tenant = map_get(checker->tenants, job->spec.tenant);
    if (tenant == NULL || tenant->quota_ms == 0)
        return;
    if (!tenant->quota_pending && checker_now(checker) > tenant->quota_ms + CONFIG_LATE_MS)
        tenant->loosest_quota = tenant->quota;
    const Resources bound = tenant->loosest_quota;
    if (bound.cpu_milli == 0 && bound.mem_mb == 0)
        return;
    const Resources used = resources_add(used_by(checker, job->spec.cell, job->spec.tenant), resources);
    if ((bound.cpu_milli != 0 && used.cpu_milli > bound.cpu_milli) || (bound.mem_mb != 0 && used.mem_mb > bound.mem_mb))
        checker_violated(checker, INVARIANT_OVER_QUOTA,
                         "tenant %s uses %" PRIu64 " milli-CPU and %" PRIu64 " MB with job %s", job->spec.tenant,
                         used.cpu_milli, used.mem_mb, job->spec.id);
}
