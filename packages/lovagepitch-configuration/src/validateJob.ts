/**
 * Validation of a caller's job.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import type { Problem, ProblemKind } from "@lovagepitch/types/problem";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { describeSchemaIssues } from "./describeSchemaIssues.js";
import { formatDocumentPath } from "./documentPath.js";
import { defaultJobLimits, type JobLimits } from "./jobLimits.js";
import { jobSchema } from "./jobSchema.js";
import { measureJson } from "./measureJson.js";

/** Largest number of issues that one refusal lists. */
const maximumReportedIssues = 5;

/** HTTP status codes of the refusals. */
const statusBadRequest = 400;
const statusContentTooLarge = 413;
const statusUnprocessable = 422;

/**
 * Validates a job. The refusal's `execution` applies to this body only: for a resubmission under an id whose earlier
 * body was accepted, the state of that submission has to be reported instead.
 *
 * @param body - parsed body of the caller's request
 * @param limits - largest number of tasks and largest payloads
 * @returns the job, with `idempotent` set to false when absent, or the refusal
 */
export function validateJob(body: unknown, limits: JobLimits = defaultJobLimits): Result<JobRequest, Problem> {
    const refusal = findLimitViolation(body, limits);
    if (refusal !== undefined) {
        return Err(refusal);
    }
    const parsed = jobSchema.safeParse(body);
    if (parsed.success) {
        return Ok(parsed.data);
    }
    const issues = describeSchemaIssues(parsed.error, body).slice(0, maximumReportedIssues);
    const detail = issues.map(issue => `${formatDocumentPath(issue.path) || "the body"}: ${issue.problem}`).join("; ");
    const remedy = issues.map(issue => `${formatDocumentPath(issue.path) || "the body"}: ${issue.remedy}`).join("; ");
    return Err(createProblem("malformed-request", statusBadRequest, detail, remedy));
}

function findLimitViolation(body: unknown, limits: JobLimits): Problem | undefined {
    const tasks = readProperty(body, "tasks");
    if (!Array.isArray(tasks)) {
        return undefined;
    }
    if (tasks.length > limits.maximumTasks) {
        const detail = `The job has ${tasks.length} tasks; at most ${limits.maximumTasks} are allowed`;
        return createProblem("too-many-tasks", statusUnprocessable, detail, "Split the work into several jobs");
    }
    for (const [index, task] of tasks.entries()) {
        const refusal = findPayloadViolation(readProperty(task, "payload"), `tasks[${index}].payload`, limits);
        if (refusal !== undefined) {
            return refusal;
        }
    }
    return undefined;
}

function findPayloadViolation(payload: unknown, path: string, limits: JobLimits): Problem | undefined {
    if (payload === undefined) {
        return undefined;
    }
    const bounds = { maximumDepth: limits.maximumPayloadDepth, maximumBytes: limits.maximumPayloadBytes };
    switch (measureJson(payload, bounds)) {
        case "fits":
            return undefined;
        case "too-deep": {
            const remedy = `Nest at most ${limits.maximumPayloadDepth} levels`;
            return createProblem("malformed-request", statusBadRequest, `${path}: nested too deep`, remedy);
        }
        case "too-large": {
            const remedy = `Send at most ${limits.maximumPayloadBytes} bytes a payload, or a reference to the data`;
            return createProblem("body-too-large", statusContentTooLarge, `${path}: too large`, remedy);
        }
        case "not-json":
            return createProblem("malformed-request", statusBadRequest, `${path}: not JSON`, "Send a JSON value");
    }
}

function readProperty(value: unknown, name: string): unknown {
    if (typeof value !== "object" || value === null || !Object.hasOwn(value, name)) {
        return undefined;
    }
    return (value as Readonly<Record<string, unknown>>)[name];
}

function createProblem(kind: ProblemKind, status: number, detail: string, remedy: string): Problem {
    return { kind, status, detail, remedy, execution: "not-run" };
}
