/**
 * Rules for answers: they are complete, contain the outputs of the caller's own tasks, and report a task as "not run"
 * only if it never started.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobAnswer, JobRequest, JsonValue, TaskAnswer } from "@lovagepitch/types/job";
import { toCanonicalJson } from "@lovagepitch/utils/digest";
import type { AnswerRecord, CallerRequest } from "./answerRecord.js";
import type { StartRecord, TaskStart } from "./startRecord.js";
import type { Violation } from "./violation.js";

type StartsBySubmission = ReadonlyMap<SubmissionKey, readonly TaskStart[]>;

/** Output that a backend server stand-in returns for a task; it identifies the task that ran. */
export interface ExpectedTaskOutput {
    readonly submission: SubmissionKey;
    readonly index: number;
    readonly echo: JsonValue;
}

function readPayloadEcho(payload: JsonValue | undefined): JsonValue {
    const hasFields = typeof payload === "object" && payload !== null && !Array.isArray(payload);
    const fields = hasFields ? payload as { readonly [name: string]: JsonValue } : {};
    return fields["echo"] ?? false;
}

function describeOutputMismatch(answer: JobAnswer, job: JobRequest): string | undefined {
    if (answer.tasks.length !== job.tasks.length) {
        return `has ${answer.tasks.length} of ${job.tasks.length} tasks`;
    }
    const byIndex = new Map(answer.tasks.map(task => [task.index, task]));
    for (const [index, task] of job.tasks.entries()) {
        const answered = byIndex.get(index);
        const expected: ExpectedTaskOutput = {
            submission: answer.submission,
            index,
            echo: readPayloadEcho(task.payload),
        };
        if (answered?.state !== "succeeded") {
            return `says task ${index} is ${answered?.state ?? "missing"}`;
        }
        if (toCanonicalJson(answered.output) !== toCanonicalJson(expected)) {
            return `holds ${toCanonicalJson(answered.output)} as output of task ${index}`;
        }
    }
    return undefined;
}

function describeFailureMismatch(answer: JobAnswer, job: JobRequest): string | undefined {
    if (answer.tasks.length !== job.tasks.length) {
        return `names ${answer.tasks.length} of ${job.tasks.length} tasks`;
    }
    const withOutput = answer.tasks.find(task => task.output !== undefined);
    return withOutput === undefined ? undefined : `holds an output of task ${withOutput.index}`;
}

function getAnswer(request: CallerRequest): JobAnswer | undefined {
    if (request.end?.kind !== "answered" || request.end.result.kind !== "answer") {
        return undefined;
    }
    return request.end.result.answer;
}

/**
 * Checks the content of answers. A complete answer contains the output of each task and a failed answer contains none.
 * All answers of the entry that owns a submission are the same, and answers of different entries do not contradict
 * each other.
 *
 * @param starts - task starts recorded by the backend servers
 * @param answers - requests and answers recorded by the callers
 * @returns violations of the rule "ownCompleteAnswer"
 */
export function checkOwnCompleteAnswer(starts: StartRecord, answers: AnswerRecord): readonly Violation[] {
    const violations: Violation[] = [];
    const startsBySubmission = starts.groupBySubmission();
    const earlierAnswers = new Map<SubmissionKey, EntryAnswer[]>();
    const report = (answer: JobAnswer, problem: string): void => {
        const message = `${answer.state} answer to ${answer.submission} ${problem}`;
        violations.push({ rule: "ownCompleteAnswer", message });
    };
    for (const request of answers.requests) {
        const answer = getAnswer(request);
        if (answer === undefined) {
            continue;
        }
        if (request.submission !== undefined && request.submission !== answer.submission) {
            report(answer, `was given to ${request.submission}`);
        }
        const earlier = earlierAnswers.get(answer.submission) ?? [];
        for (const problem of describeDisagreements(earlier, { entry: request.entry, answer })) {
            report(answer, problem);
        }
        earlierAnswers.set(answer.submission, [...earlier, { entry: request.entry, answer }]);
        const mismatch = describeAnswerMismatch(request, answer, startsBySubmission);
        if (mismatch !== undefined) {
            report(answer, mismatch);
        }
    }
    return violations;
}

/** An answer and the address and incarnation of the entry that sent it. */
interface EntryAnswer {
    readonly entry: string;
    readonly answer: JobAnswer;
}

function describeDisagreements(earlier: readonly EntryAnswer[], later: EntryAnswer): readonly string[] {
    const problems: string[] = [];
    for (const other of earlier) {
        const contradicted = other.answer.tasks.find(task => contradicts(task, later.answer.tasks[task.index]));
        if (contradicted !== undefined) {
            problems.push(
                `contradicts an earlier answer that reported task ${contradicted.index} as "${contradicted.state}"`,
            );
        }
        else if (isFromSameOwner(other, later) && describeOutcome(other.answer) !== describeOutcome(later.answer)) {
            problems.push(`differs from an earlier ${other.answer.state} answer of its owner entry`);
        }
    }
    return problems;
}

/**
 * Tells whether both answers come from the entry that owns the submission. The answers of the owner must never differ;
 * another entry may learn more outcomes after the owner has stopped.
 */
function isFromSameOwner(earlier: EntryAnswer, later: EntryAnswer): boolean {
    const [, incarnation] = later.entry.split("/");
    const isOwner = incarnation === undefined || later.answer.submission.includes(`.${incarnation}.`);
    return isOwner && earlier.entry === later.entry;
}

/** A later answer contradicts if it lacks the task, or if the states differ and neither of them is "may-have-run". */
function contradicts(earlier: TaskAnswer, later: TaskAnswer | undefined): boolean {
    if (later === undefined) {
        return true;
    }
    return earlier.state !== later.state && earlier.state !== "may-have-run" && later.state !== "may-have-run";
}

function describeOutcome(answer: JobAnswer): string {
    return toCanonicalJson({ state: answer.state, outputs: answer.tasks.map(task => task.output ?? false) });
}

function describeAnswerMismatch(
    request: CallerRequest,
    answer: JobAnswer,
    starts: StartsBySubmission,
): string | undefined {
    const startedIndexes = new Set((starts.get(answer.submission) ?? []).map(start => start.index));
    const neverStarted = answer.tasks.find(task =>
        (task.state === "succeeded" || task.state === "failed") && !startedIndexes.has(task.index)
    );
    if (neverStarted !== undefined) {
        return `says task ${neverStarted.index} ${neverStarted.state}, which never started`;
    }
    if (request.job === undefined) {
        return undefined;
    }
    return answer.state === "complete"
        ? describeOutputMismatch(answer, request.job)
        : describeFailureMismatch(answer, request.job);
}

/**
 * Checks that no task that an answer reports as "not run" started before or after that answer.
 *
 * @param starts - task starts recorded by the backend servers
 * @param answers - requests and answers recorded by the callers
 * @returns violations of the rule "notRunIsTrue"
 */
export function checkNotRunIsTrue(starts: StartRecord, answers: AnswerRecord): readonly Violation[] {
    const violations: Violation[] = [];
    const startsBySubmission = starts.groupBySubmission();
    for (const request of answers.requests) {
        for (const start of findContradictingStarts(request, startsBySubmission)) {
            const message = `answered "not run", but task ${start.index} of ${start.submission} started at `
                + `${start.worker}, ${start.startedAtMilliseconds} ms`;
            violations.push({ rule: "notRunIsTrue", message });
        }
    }
    return violations;
}

function findContradictingStarts(request: CallerRequest, starts: StartsBySubmission): readonly TaskStart[] {
    if (request.end?.kind !== "answered") {
        return [];
    }
    const { result } = request.end;
    if (result.kind === "answer") {
        const notRun = new Set(result.answer.tasks.filter(task => task.state === "not-run").map(task => task.index));
        return (starts.get(result.answer.submission) ?? []).filter(start => notRun.has(start.index));
    }
    if (result.kind !== "problem" || result.problem.execution !== "not-run" || request.submission === undefined) {
        return [];
    }
    const candidates = starts.get(request.submission) ?? [];
    if (result.problem.kind !== "submission-mismatch") {
        return candidates;
    }
    // Another job is bound to this id or key and may have run; only the tasks of this request must not have started.
    const ownEchoes = new Set(request.job?.tasks.map(task => toCanonicalJson(readPayloadEcho(task.payload))));
    return candidates.filter(start => ownEchoes.has(toCanonicalJson(start.echo)));
}
