/**
 * Admission control: admits or refuses a job when it arrives. A refused job has not run and never runs under its
 * submission id.
 */
import type { SubmissionIdentity } from "@lovagepitch/types/identity";
import type { JobRequest, TaskRequest } from "@lovagepitch/types/job";
import type { Problem, ProblemKind } from "@lovagepitch/types/problem";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { EntryState } from "../entryState.js";
import type { AgentRow } from "../tables/agentRow.js";
import { createWorkClassKey, type WorkClass } from "../tables/workClass.js";

const maximumTasksPerJob = 820;
/** Share of the deadline within which a job must be predicted to finish; the rest is a margin for slow tasks. */
const usableDeadlineShare = 0.9;
/** Share of the deadline that every job may wait, whatever its estimated run time. */
const minimumWaitShare = 0.1;
/** Retry-After of refusals whose cause ends without an intervention. */
const shortRetryMilliseconds = 1_000;
/** Longest Retry-After while a queue drains. */
const maximumRetryMilliseconds = 30_000;
/** Retry-After of refusals whose cause an operator may have to fix. */
const operatorRetryMilliseconds = 5_000;

/** Fields of a refusal besides its kind and execution. */
interface RefusalDetails {
    readonly status: number;
    readonly detail: string;
    readonly remedy: string;
    readonly retryAfterMilliseconds?: number;
}

/**
 * Checks whether a job can be admitted.
 *
 * @param state - entry state; refusals are counted in it
 * @param job - validated job
 * @param identity - decoded submission id, or undefined before the job has one
 * @returns the work class of the job, or the refusal
 */
export function admit(
    state: EntryState,
    job: JobRequest,
    identity: SubmissionIdentity | undefined,
): Result<WorkClass, Problem> {
    const found = findWorkClass(state, job);
    if (found.err) {
        return found;
    }
    const workClass = found.val;
    const refusal = checkJobLimits(job, workClass)
        ?? checkPermittedWorkers(state, job, workClass, identity)
        ?? checkQueueLimits(state, job, workClass)
        ?? checkDeadline(job, workClass);
    return refusal === undefined ? Ok(workClass) : Err(state.recordRefusal(refusal));
}

function createNotRunProblem(kind: ProblemKind, details: RefusalDetails): Problem {
    return { kind, execution: "not-run", ...details };
}

function findWorkClass(state: EntryState, job: JobRequest): Result<WorkClass, Problem> {
    const manifest = state.manifest?.manifest;
    if (manifest === undefined) {
        return Err(state.recordRefusal(createNoConfigurationProblem()));
    }
    if (!manifest.teams.some(team => team.name === job.team)) {
        return Err(state.recordRefusal(createUnknownNameProblem("unknown-team", `There is no team "${job.team}".`)));
    }
    if (!manifest.services.some(service => service.name === job.service)) {
        return Err(
            state.recordRefusal(createUnknownNameProblem("unknown-service", `There is no service "${job.service}".`)),
        );
    }
    const workClass = state.workClasses.get(createWorkClassKey(job.service, job.kind));
    const teams = workClass?.kind.teams;
    if (workClass === undefined || (teams !== undefined && !teams.includes(job.team))) {
        const detail = `Service "${job.service}" has no kind "${job.kind}" for team "${job.team}".`;
        return Err(state.recordRefusal(createUnknownNameProblem("unknown-kind", detail)));
    }
    return Ok(workClass);
}

function createNoConfigurationProblem(): Problem {
    return createNotRunProblem("no-configuration", {
        status: 503,
        detail: "This entry has no configuration yet.",
        remedy: "Come back later; the operator may have to apply a manifest.",
        retryAfterMilliseconds: operatorRetryMilliseconds,
    });
}

function createUnknownNameProblem(kind: ProblemKind, detail: string): Problem {
    const remedy = "Correct the name, or have the operator add it to the manifest.";
    return createNotRunProblem(kind, { status: 422, detail, remedy });
}

function checkJobLimits(job: JobRequest, workClass: WorkClass): Problem | undefined {
    if (job.tasks.length > maximumTasksPerJob) {
        const detail = `The job has ${job.tasks.length} tasks.`;
        return createNotRunProblem("too-many-tasks", {
            status: 422,
            detail,
            remedy: `Send at most ${maximumTasksPerJob} tasks a job.`,
        });
    }
    const kind = workClass.kind;
    const oversizedIndex = job.tasks.findIndex(task =>
        task.cores > kind.maximumCores || task.memoryMegabytes > kind.maximumMemoryMegabytes
    );
    if (oversizedIndex >= 0) {
        return createTaskTooLargeProblem(
            oversizedIndex,
            `kind "${kind.name}" allows`,
            kind.maximumCores,
            kind.maximumMemoryMegabytes,
        );
    }
    if (job.deadlineMilliseconds > kind.maximumDeadlineMilliseconds) {
        return createNotRunProblem("deadline-unreachable", {
            status: 422,
            detail: `The deadline is longer than kind "${kind.name}" allows.`,
            remedy: `Ask for at most ${kind.maximumDeadlineMilliseconds} ms.`,
        });
    }
    return undefined;
}

function createTaskTooLargeProblem(index: number, limitedBy: string, cores: number, memoryMegabytes: number): Problem {
    return createNotRunProblem("task-too-large", {
        status: 422,
        detail: `Task ${index} is larger than ${limitedBy}: ${cores} cores, ${memoryMegabytes} MB.`,
        remedy: "Split the task, or have the operator raise the limit.",
    });
}

function checkPermittedWorkers(
    state: EntryState,
    job: JobRequest,
    workClass: WorkClass,
    identity: SubmissionIdentity | undefined,
): Problem | undefined {
    const agents = workClass.candidates
        .map(address => state.agents.get(address))
        .filter(agent => agent !== undefined)
        .filter(agent => !agent.load.leaving && !agent.isUnresponsive);
    if (agents.length === 0) {
        return createNotRunProblem("no-permitted-place", {
            status: 503,
            detail: `No backend server of service "${job.service}" is in a permitted availability zone now.`,
            remedy: "Come back later; the operator's status command lists the workers.",
            retryAfterMilliseconds: operatorRetryMilliseconds,
        });
    }
    const registryVersion = identity?.registryVersion ?? state.registryVersion;
    if (!agents.some(agent => agent.registrationNumber <= registryVersion)) {
        return createRegisteredLaterProblem();
    }
    const oversizedIndex = job.tasks.findIndex(task => !agents.some(agent => isTaskWithinWorker(task, agent)));
    if (oversizedIndex >= 0) {
        const cores = Math.max(...agents.map(agent => agent.cores));
        const memoryMegabytes = Math.max(...agents.map(agent => agent.memoryMegabytes));
        return createTaskTooLargeProblem(oversizedIndex, "every permitted worker", cores, memoryMegabytes);
    }
    return undefined;
}

/**
 * Creates the refusal of a job that none of the present workers may run under its submission id.
 *
 * @returns a refusal that says that nothing has run
 */
export function createRegisteredLaterProblem(): Problem {
    return createNotRunProblem("no-permitted-place", {
        status: 503,
        detail: "All permitted workers were registered after this submission id was issued.",
        remedy: "Send the job again under the id in nextSubmission.",
    });
}

/**
 * Tells whether a worker is large enough for a task.
 *
 * @param task - declared cores and memory of the task
 * @param agent - row of the worker's agent
 * @returns true when the worker has at least the declared cores and memory
 */
export function isTaskWithinWorker(task: TaskRequest, agent: AgentRow): boolean {
    return task.cores <= agent.cores && task.memoryMegabytes <= agent.memoryMegabytes;
}

function checkQueueLimits(state: EntryState, job: JobRequest, workClass: WorkClass): Problem | undefined {
    const limit = state.dependencies.settings.maximumWaitingTasks;
    if (state.waitingTasks + job.tasks.length > limit) {
        return createNotRunProblem("overloaded", {
            status: 503,
            detail: `${state.waitingTasks} tasks wait at this entry; its limit is ${limit}.`,
            remedy: "Come back after the time in Retry-After.",
            retryAfterMilliseconds: estimateRetryMilliseconds(workClass, state.waitingTasks + job.tasks.length - limit),
        });
    }
    const team = state.manifest?.manifest.teams.find(candidate => candidate.name === job.team);
    const quotaShare = Math.ceil((team?.quota.maximumWaitingTasks ?? 0) / countServingEntries(state));
    const teamTasks = (state.startedTasksByTeam.get(job.team) ?? 0) + (state.waitingTasksByTeam.get(job.team) ?? 0);
    if (teamTasks > 0 && teamTasks + job.tasks.length > quotaShare) {
        return createNotRunProblem("quota-exceeded", {
            status: 429,
            detail: `Team "${job.team}" has ${teamTasks} tasks at this entry; its share of the quota is ${quotaShare}.`,
            remedy: "Come back when some have finished, or have the operator raise the quota.",
            retryAfterMilliseconds: estimateRetryMilliseconds(workClass, teamTasks + job.tasks.length - quotaShare),
        });
    }
    return undefined;
}

/** Estimates the time until the excess tasks have started, from the measured drain rate. */
function estimateRetryMilliseconds(workClass: WorkClass, excessTasks: number): number {
    const rate = workClass.drainRate.getStartsPerMillisecond();
    if (rate === undefined || rate === 0) {
        return shortRetryMilliseconds;
    }
    return Math.min(maximumRetryMilliseconds, excessTasks / rate);
}

/**
 * Counts the entries that share the quotas.
 *
 * @param state - entry state
 * @returns number of entries that the registry lists as serving, at least 1
 */
export function countServingEntries(state: EntryState): number {
    return Math.max(1, state.servingEntryCount);
}

/**
 * Estimates how long a job may wait for its start and still be likely to meet its deadline.
 *
 * @param job - declared run times and deadline of the job
 * @param workClass - work class of the job, with its observed run times
 * @returns longest useful wait in milliseconds
 */
export function estimateUsableWaitMilliseconds(job: JobRequest, workClass: WorkClass): number {
    const declaredMilliseconds = Math.max(...job.tasks.map(task => task.expectedMilliseconds));
    const longestMilliseconds = workClass.runTime.estimateLongestMilliseconds(job.tasks.length, declaredMilliseconds);
    const deadlineMilliseconds = job.deadlineMilliseconds;
    // The minimum applies because a caller may know that its tasks are shorter than most of their kind.
    return Math.max(
        deadlineMilliseconds * usableDeadlineShare - longestMilliseconds,
        deadlineMilliseconds * minimumWaitShare,
    );
}

function checkDeadline(job: JobRequest, workClass: WorkClass): Problem | undefined {
    const rate = workClass.drainRate.getStartsPerMillisecond();
    const waitingTasks = workClass.queue.size;
    if (rate === undefined || waitingTasks === 0) {
        return undefined;
    }
    const waitMilliseconds = (waitingTasks + job.tasks.length) / Math.max(rate, Number.EPSILON);
    const excessMilliseconds = waitMilliseconds - estimateUsableWaitMilliseconds(job, workClass);
    if (excessMilliseconds <= 0) {
        return undefined;
    }
    return createNotRunProblem("deadline-unreachable", {
        status: 503,
        detail: `${waitingTasks} tasks wait, and the measured rate would finish this job too late.`,
        remedy: "Come back after the time in Retry-After, or allow a longer deadline.",
        retryAfterMilliseconds: Math.min(excessMilliseconds, job.deadlineMilliseconds),
    });
}
