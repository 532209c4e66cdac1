/**
 * Rules over answers: whole and the caller's own, true when they say "not run", and in time.
 */
import type { SubmissionKey } from "@lovagepitch/types/identity";
import type { JobAnswer, JobRequest, JsonValue } from "@lovagepitch/types/job";
import { canonicalJson } from "@lovagepitch/utils/digest";
import type { AnswerRecord, CallerRequest } from "./answerRecord.js";
import type { StartRecord, TaskStart } from "./startRecord.js";
import type { CheckerLimits, Violation } from "./violation.js";

type StartsBySubmission = ReadonlyMap<SubmissionKey, readonly TaskStart[]>;

/** What a backend server stand-in puts out; it proves which task ran. */
export interface ProvenOutput {
    readonly submission: SubmissionKey;
    readonly index: number;
    readonly echo: JsonValue;
}

function payloadEcho(payload: JsonValue | undefined): JsonValue {
    const hasFields = typeof payload === "object" && payload !== null && !Array.isArray(payload);
    const fields = hasFields ? payload as { readonly [name: string]: JsonValue } : {};
    return fields["echo"] ?? false;
}

function describeWrongOutputs(answer: JobAnswer, job: JobRequest): string | undefined {
    if (answer.tasks.length !== job.tasks.length) {
        return `has ${answer.tasks.length} of ${job.tasks.length} tasks`;
    }
    const byIndex = new Map(answer.tasks.map(task => [task.index, task]));
    for (const [index, task] of job.tasks.entries()) {
        const given = byIndex.get(index);
        const expected: ProvenOutput = { submission: answer.submission, index, echo: payloadEcho(task.payload) };
        if (given?.state !== "succeeded") {
            return `says task ${index} is ${given?.state ?? "missing"}`;
        }
        if (canonicalJson(given.output) !== canonicalJson(expected)) {
            return `holds ${canonicalJson(given.output)} as output of task ${index}`;
        }
    }
    return undefined;
}

function describeWrongFailure(answer: JobAnswer, job: JobRequest): string | undefined {
    if (answer.tasks.length !== job.tasks.length) {
        return `names ${answer.tasks.length} of ${job.tasks.length} tasks`;
    }
    const withOutput = answer.tasks.find(task => task.output !== undefined);
    return withOutput === undefined ? undefined : `holds an output of task ${withOutput.index}`;
}

function answerOf(request: CallerRequest): JobAnswer | undefined {
    if (request.end?.kind !== "answered" || request.end.result.kind !== "answer") {
        return undefined;
    }
    return request.end.result.answer;
}

/**
 * Judges that a complete answer holds every task's own output, a failed one none, and that all answers to one
 * submission agree.
 *
 * @param starts - starts as backend servers saw them
 * @param answers - requests and answers as callers saw them
 * @returns the violations
 */
export function checkOwnCompleteAnswer(starts: StartRecord, answers: AnswerRecord): readonly Violation[] {
    const violations: Violation[] = [];
    const startsBySubmission = starts.bySubmission();
    const firstAnswers = new Map<SubmissionKey, JobAnswer>();
    const report = (answer: JobAnswer, problem: string): void => {
        const message = `${answer.state} answer to ${answer.submission} ${problem}`;
        violations.push({ rule: "ownCompleteAnswer", message });
    };
    for (const request of answers.requests) {
        const answer = answerOf(request);
        if (answer === undefined) {
            continue;
        }
        if (request.submission !== undefined && request.submission !== answer.submission) {
            report(answer, `was given to ${request.submission}`);
        }
        const first = firstAnswers.get(answer.submission);
        if (first !== undefined && describeOutcome(first) !== describeOutcome(answer)) {
            report(answer, `differs from an earlier ${first.state} one`);
        }
        firstAnswers.set(answer.submission, first ?? answer);
        const wrong = describeWrongAnswer(request, answer, startsBySubmission);
        if (wrong !== undefined) {
            report(answer, wrong);
        }
    }
    return violations;
}

function describeOutcome(answer: JobAnswer): string {
    return canonicalJson({ state: answer.state, outputs: answer.tasks.map(task => task.output ?? false) });
}

function describeWrongAnswer(
    request: CallerRequest,
    answer: JobAnswer,
    starts: StartsBySubmission,
): string | undefined {
    const startedIndexes = new Set((starts.get(answer.submission) ?? []).map(start => start.index));
    const invented = answer.tasks.find(task =>
        (task.state === "succeeded" || task.state === "failed") && !startedIndexes.has(task.index)
    );
    if (invented !== undefined) {
        return `says task ${invented.index} ${invented.state}, which never started`;
    }
    if (request.job === undefined) {
        return undefined;
    }
    return answer.state === "complete"
        ? describeWrongOutputs(answer, request.job)
        : describeWrongFailure(answer, request.job);
}

/**
 * Judges that nothing that was answered "not run" ever started, before or after.
 *
 * @param starts - starts as backend servers saw them
 * @param answers - requests and answers as callers saw them
 * @returns the violations
 */
export function checkNotRunIsTrue(starts: StartRecord, answers: AnswerRecord): readonly Violation[] {
    const violations: Violation[] = [];
    const startsBySubmission = starts.bySubmission();
    for (const request of answers.requests) {
        for (const start of contradictingStarts(request, startsBySubmission)) {
            const message = `answered "not run", but task ${start.index} of ${start.submission} started at `
                + `${start.worker}, ${start.startedAtMilliseconds} ms`;
            violations.push({ rule: "notRunIsTrue", message });
        }
    }
    return violations;
}

function contradictingStarts(request: CallerRequest, starts: StartsBySubmission): readonly TaskStart[] {
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
    // Another job holds this id or key and may well run; only this request's own tasks must not have.
    const ownEchoes = new Set(request.job?.tasks.map(task => canonicalJson(payloadEcho(task.payload))));
    return candidates.filter(start => ownEchoes.has(canonicalJson(start.echo)));
}

/**
 * Judges that every caller that waits has its answer by its deadline and a margin, and a complete one soon after the
 * last task ended.
 *
 * @param starts - starts as backend servers saw them
 * @param answers - requests and answers as callers saw them
 * @param limits - the stated times
 * @param nowMilliseconds - end of the run, in milliseconds since the epoch
 * @returns the violations
 */
export function checkAnsweredInTime(
    starts: StartRecord,
    answers: AnswerRecord,
    limits: CheckerLimits,
    nowMilliseconds: number,
): readonly Violation[] {
    const startsBySubmission = starts.bySubmission();
    const violations: Violation[] = [];
    for (const request of answers.requests) {
        const late = describeLateness(request, limits, nowMilliseconds)
            ?? describeLateDecision(request, starts, startsBySubmission, limits);
        if (late !== undefined) {
            const name = request.submission ?? request.key ?? "a request without an id";
            const message = `${request.operation} of ${name} at ${request.entry} ${late}`;
            violations.push({ rule: "answeredInTime", message });
        }
    }
    return violations;
}

function describeLateness(
    request: CallerRequest,
    limits: CheckerLimits,
    nowMilliseconds: number,
): string | undefined {
    const allowed = (request.job?.deadlineMilliseconds ?? 0) + limits.deadlineMarginMilliseconds;
    const endedAt = request.end?.atMilliseconds ?? nowMilliseconds;
    const took = endedAt - request.sentAtMilliseconds;
    if (took <= allowed) {
        return undefined;
    }
    if (request.end === undefined) {
        return `had no answer after ${took} ms; allowed are ${allowed} ms`;
    }
    return request.end.kind === "answered" ? `was answered after ${took} ms; allowed are ${allowed} ms` : undefined;
}

function describeLateDecision(
    request: CallerRequest,
    starts: StartRecord,
    startsBySubmission: StartsBySubmission,
    limits: CheckerLimits,
): string | undefined {
    const answer = answerOf(request);
    if (answer?.state !== "complete" || request.end === undefined) {
        return undefined;
    }
    let decidedAt = request.sentAtMilliseconds;
    for (const start of startsBySubmission.get(answer.submission) ?? []) {
        decidedAt = Math.max(decidedAt, starts.endOf(start)?.endedAtMilliseconds ?? 0);
    }
    const waited = request.end.atMilliseconds - decidedAt;
    return waited <= limits.decisionMarginMilliseconds
        ? undefined
        : `was answered ${waited} ms after its last task had ended`;
}
