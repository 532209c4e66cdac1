/**
 * Load pattern: many jobs of one kind crash the workers that start them, faster than workers come back. The kind is confined
 * to a few workers (bulkhead) until it has run without a crash for a while, so that the other kinds keep the rest.
 */
import { coincidenceMilliseconds, type CrashCauses } from "./crashEvidence.js";

/** Longest time between two crashes that confine a kind, in milliseconds. */
const confinementWindowMilliseconds = 5000;

/** Time for which a confined kind has to run without a crash before it is released, in milliseconds. */
const cleanMilliseconds = 3000;

/** Number of its runs that have to succeed at an entry before it is released; about those of three jobs of a confined kind. */
const cleanRuns = 20;

/** A kind without a crash for this long is released although it has hardly run, in milliseconds. */
const longestConfinementMilliseconds = 30_000;

/** Time after its release within which a single crash confines a kind again, in milliseconds. */
const probationMilliseconds = 15_000;

/**
 * Jobs by which the number of jobs that may share a worker grows with each job of the kind that is done (additive increase);
 * each crash halves the number (multiplicative decrease).
 */
const parallelJobsPerDoneJob = 0.5;

/** Largest number of crashes that are kept of a confined kind. */
const maximumKeptCharges = 16;

/** Largest number of jobs of a confined kind that may share a worker. */
const maximumParallelJobs = 64;

/** A crash that a kind may have caused. */
interface Charge {
    /** Id of the crash. */
    readonly crash: string;
    readonly at: number;
    /** Its jobs that may have caused it. */
    readonly jobs: ReadonlySet<string>;
    /** Routes of all kinds that may have caused it. */
    readonly routes: ReadonlySet<string>;
}

/** A kind that is confined. */
interface ConfinedKind {
    readonly service: string;
    readonly route: string;
    /** When it last crashed a worker, in milliseconds. */
    lastCrashAt: number;
    /** Number of runs that have succeeded since then. */
    successes: number;
    /** Number of its jobs that may share a worker. */
    parallelJobs: number;
    /** Crashes for which it is confined, oldest first. */
    charges: readonly Charge[];
}

/** A kind of jobs: those of one route at one service. */
export interface JobKindName {
    readonly service: string;
    readonly route: string;
}

/** Kinds of jobs that crash workers again and again. */
export class CrashingKinds {
    private readonly charges = new Map<string, readonly Charge[]>();
    private readonly confined = new Map<string, ConfinedKind>();
    /** When each kind was released, in milliseconds. */
    private readonly releasedAt = new Map<string, number>();
    /** When a job of each kind last arrived, in milliseconds. */
    private readonly arrivals = new Map<string, { readonly service: string; at: number }>();

    /** Number of confined kinds. */
    public get confinedCount(): number {
        return this.confined.size;
    }

    /**
     * Takes the possible causes of a crash into account. A crash that a confined kind may have caused is put down to it.
     *
     * @param causes - kinds that may have caused it
     * @param crashedAt - monotonic time of the crash, in milliseconds
     * @returns kinds that are confined from now on
     */
    public recordCrash({ crash, service, jobsByRoute }: CrashCauses, crashedAt: number): readonly JobKindName[] {
        const begun: JobKindName[] = [];
        const routes = new Set(jobsByRoute.keys());
        const known = [...routes].filter(route => this.isConfined(service, route));
        for (const [route, jobs] of jobsByRoute) {
            if (known.length > 0 && !known.includes(route)) {
                continue;
            }
            const key = formatKey(service, route);
            const charge = { crash, at: crashedAt, jobs, routes };
            const recent = (this.charges.get(key) ?? []).filter(({ at }) => {
                return crashedAt - at <= confinementWindowMilliseconds;
            });
            this.charges.set(key, [...recent, charge]);
            const kind = this.confined.get(key);
            const unexplained = this.listUnexplained(service, recent);
            if (kind !== undefined) {
                kind.lastCrashAt = Math.max(kind.lastCrashAt, crashedAt);
                kind.successes = 0;
                kind.parallelJobs = Math.max(1, kind.parallelJobs / 2);
                kind.charges = [...kind.charges, charge].slice(-maximumKeptCharges);
            }
            else if (
                (this.isOnProbation(key, crashedAt) || isOnlyCommonKind(route, charge, unexplained))
                && this.hasOtherKind(service, key, crashedAt)
            ) {
                const charges = [...unexplained, charge].slice(-maximumKeptCharges);
                this.confined.set(key, {
                    service,
                    route,
                    lastCrashAt: crashedAt,
                    successes: 0,
                    parallelJobs: 1,
                    charges,
                });
                begun.push({ service, route });
            }
        }
        return begun;
    }

    /**
     * Takes back a crash that was none. Kinds that the others do not confine are released.
     *
     * @param crash - id of the crash
     * @returns the released kinds
     */
    public refuteCrash(crash: string): readonly JobKindName[] {
        for (const [key, charges] of this.charges) {
            this.charges.set(key, charges.filter(charge => charge.crash !== crash));
        }
        const released: JobKindName[] = [];
        for (const [key, kind] of this.confined) {
            const rest = kind.charges.filter(charge => charge.crash !== crash);
            if (rest.length < kind.charges.length) {
                kind.charges = rest;
                if (!this.isConfinedBy(key, kind)) {
                    this.confined.delete(key);
                    released.push({ service: kind.service, route: kind.route });
                }
            }
        }
        return released;
    }

    /** Tells whether one of the crashes of a kind confines it, together with those before it. */
    private isConfinedBy(key: string, { route, charges }: ConfinedKind): boolean {
        return charges.some((charge, index) => {
            return this.isOnProbation(key, charge.at) || isOnlyCommonKind(route, charge, charges.slice(0, index));
        });
    }

    /**
     * Takes the arrival of a job into account.
     *
     * @param service - service of the job
     * @param route - route of the job
     * @param now - current monotonic time, in milliseconds
     */
    public recordArrival(service: string, route: string, now: number): void {
        const key = formatKey(service, route);
        const known = this.arrivals.get(key);
        if (known === undefined) {
            this.arrivals.set(key, { service, at: now });
        }
        else {
            known.at = Math.max(known.at, now);
        }
    }

    /** Lists the crashes that no confined kind may have caused. */
    private listUnexplained(service: string, charges: readonly Charge[]): readonly Charge[] {
        return charges.filter(({ routes }) => ![...routes].some(route => this.isConfined(service, route)));
    }

    /** Tells whether jobs of another kind arrive, for which workers would be kept. */
    private hasOtherKind(service: string, key: string, now: number): boolean {
        for (const [other, arrival] of this.arrivals) {
            if (other !== key && arrival.service === service && now - arrival.at <= confinementWindowMilliseconds) {
                return true;
            }
        }
        return false;
    }

    /**
     * Records a run that has succeeded.
     *
     * @param service - service of the job
     * @param route - route of the job
     */
    public recordSuccess(service: string, route: string): void {
        const kind = this.confined.size === 0 ? undefined : this.confined.get(formatKey(service, route));
        if (kind !== undefined) {
            kind.successes += 1;
        }
    }

    /**
     * Records a job that is done.
     *
     * @param service - service of the job
     * @param route - route of the job
     */
    public recordDoneJob(service: string, route: string): void {
        const kind = this.confined.size === 0 ? undefined : this.confined.get(formatKey(service, route));
        if (kind !== undefined) {
            kind.parallelJobs = Math.min(maximumParallelJobs, kind.parallelJobs + parallelJobsPerDoneJob);
        }
    }

    /**
     * Tells how many jobs of a confined kind may share a worker. The fewer of them crash it, the more may.
     *
     * @param service - service of the jobs
     * @param route - route of the jobs
     * @returns number of jobs, at least 1; 0 when the kind is not confined
     */
    public countParallelJobs(service: string, route: string): number {
        return Math.floor(this.confined.get(formatKey(service, route))?.parallelJobs ?? 0);
    }

    private isOnProbation(key: string, now: number): boolean {
        return now - (this.releasedAt.get(key) ?? Number.NEGATIVE_INFINITY) <= probationMilliseconds;
    }

    /**
     * Releases the kinds that have run without a crash for long enough.
     *
     * @param now - current monotonic time, in milliseconds
     * @returns the released kinds
     */
    public release(now: number): readonly JobKindName[] {
        const released: JobKindName[] = [];
        for (const [key, { service, route, lastCrashAt, successes }] of this.confined) {
            const requiredMilliseconds = successes >= cleanRuns ? cleanMilliseconds : longestConfinementMilliseconds;
            if (now - lastCrashAt >= requiredMilliseconds) {
                this.confined.delete(key);
                this.charges.delete(key);
                this.releasedAt.set(key, now);
                released.push({ service, route });
            }
        }
        return released;
    }

    /**
     * Tells whether a kind is confined.
     *
     * @param service - service of the jobs
     * @param route - route of the jobs
     * @returns true when it is to run on few workers
     */
    public isConfined(service: string, route: string): boolean {
        return this.confined.size > 0 && this.confined.has(formatKey(service, route));
    }

    /**
     * Tells whether any kind of a service is confined.
     *
     * @param service - the service
     * @returns true when some of its workers are kept for confined kinds
     */
    public hasConfined(service: string): boolean {
        for (const kind of this.confined.values()) {
            if (kind.service === service) {
                return true;
            }
        }
        return false;
    }
}

/**
 * Tells whether a crash and earlier ones point to a kind rather than to one job of it, or to another kind: each of the other
 * kinds is ruled out by one of them.
 */
function isOnlyCommonKind(route: string, latest: Charge, recent: readonly Charge[]): boolean {
    const independent = recent.filter(earlier => areIndependent(earlier, latest));
    const others = [...latest.routes].filter(other => other !== route);
    return independent.length > 0
        && !others.some(other => independent.every(({ routes }) => routes.has(other)));
}

/** Tells whether two crashes have neither a job that may have caused both nor their instant in common. */
function areIndependent(left: Charge, right: Charge): boolean {
    const haveCommonJob = [...left.jobs].some(job => right.jobs.has(job));
    return !haveCommonJob && Math.abs(left.at - right.at) > coincidenceMilliseconds;
}

function formatKey(service: string, route: string): string {
    return `${service} ${route}`;
}
