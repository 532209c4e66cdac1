/**
 * HTTP routes for callers: submission ids, submissions and jobs.
 */
import type { JobRequest } from "@lovagepitch/types/job";
import type { Problem, ProblemKind } from "@lovagepitch/types/problem";
import type { Result } from "@lovagepitch/utils/result";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { EntryInput, RequestId } from "../core/entryInput.js";
import { sendEntryResponse, sendProblem } from "./httpResponses.js";
import type { PendingRequests } from "./pendingRequests.js";
import { type BodyFailure, hasUnreadBody, readJsonBody } from "./requestBody.js";
import { createMalformedProblem, createTooManyRequestsProblem, restateForSubmission } from "./requestProblems.js";

const maximumSubmissionsPerRequest = 1_000;
const maximumIdempotencyKeyLength = 256;
const countPattern = /^[1-9]\d{0,3}$/;
/** Printable ASCII without spaces at the ends. */
const idempotencyKeyPattern = /^[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?$/;

/** A request with the path and query parameters that the router parsed. */
export interface RoutedRequest extends IncomingMessage {
    readonly params: Readonly<Record<string, string>>;
    readonly query: Readonly<Record<string, unknown>>;
}

/** Handles one request. */
export type RouteHandler = (request: RoutedRequest, response: ServerResponse) => void | Promise<void>;

/** Validates the body of a caller's job. */
export type ValidateJob = (body: unknown) => Result<JobRequest, Problem>;

/** Constructor arguments of the routes. */
export interface CallerRoutesDependencies {
    readonly pendingRequests: PendingRequests;
    readonly validateJob: ValidateJob;
    readonly maximumBodyBytes: number;
    /** Counts a request that is refused before it reaches the core. */
    readonly countRefusal: (kind: ProblemKind) => void;
}

/** Handlers of the callers' routes. */
export class CallerRoutes {
    /**
     * @param dependencies - pending requests, validation, limits and metrics
     */
    public constructor(private readonly dependencies: CallerRoutesDependencies) {}

    /** `POST /v1/submissions`: issues submission ids. */
    public readonly issue: RouteHandler = (request, response) => {
        const text = request.query["count"] ?? "1";
        const count = typeof text === "string" && countPattern.test(text) ? Number(text) : 0;
        if (count < 1 || count > maximumSubmissionsPerRequest) {
            const remedy = `Ask for a count from 1 to ${maximumSubmissionsPerRequest}.`;
            this.refuse(response, createMalformedProblem(400, "The count is not allowed", remedy));
            return;
        }
        request.resume();
        this.openRequest(response, requestId => ({ type: "issue", request: requestId, count }));
    };

    /** `PUT /v1/submissions/:submission`: submits or resubmits a job. */
    public readonly submit: RouteHandler = async (request, response) => {
        const submission = getSubmission(request);
        const job = await this.readJob(request);
        if (job.err) {
            this.refuseBody(response, job.val, restateForSubmission);
            return;
        }
        this.openRequest(response, requestId => ({ type: "submit", request: requestId, submission, job: job.val }));
    };

    /** `GET /v1/submissions/:submission`: returns the progress of a submission or its final answer. */
    public readonly query: RouteHandler = (request, response) => {
        request.resume();
        this.openRequest(
            response,
            requestId => ({ type: "query", request: requestId, submission: getSubmission(request) }),
        );
    };

    /** `DELETE /v1/submissions/:submission`: cancels a submission. */
    public readonly cancel: RouteHandler = (request, response) => {
        request.resume();
        this.openRequest(
            response,
            requestId => ({ type: "cancel", request: requestId, submission: getSubmission(request) }),
        );
    };

    /** `POST /v1/jobs`: submits a job under an idempotency key that the caller chose. */
    public readonly submitWithKey: RouteHandler = async (request, response) => {
        const job = await this.readJob(request);
        const key = request.headers["idempotency-key"];
        if (typeof key !== "string" || key.length > maximumIdempotencyKeyLength || !idempotencyKeyPattern.test(key)) {
            const remedy =
                `Send the header Idempotency-Key with 1 to ${maximumIdempotencyKeyLength} printable characters.`;
            this.refuse(response, createMalformedProblem(400, "The Idempotency-Key is missing or malformed", remedy));
            return;
        }
        if (job.err) {
            this.refuseBody(response, job.val, restateForSubmission);
            return;
        }
        const { team, service } = job.val;
        const callerKey = { team, service, key };
        this.openRequest(
            response,
            requestId => ({ type: "submitWithKey", request: requestId, key: callerKey, job: job.val }),
        );
    };

    private async readJob(request: RoutedRequest): Promise<Result<JobRequest, BodyFailure>> {
        const body = await readJsonBody(request, this.dependencies.maximumBodyBytes);
        return body.andThen(value => this.dependencies.validateJob(value) as Result<JobRequest, BodyFailure>);
    }

    private openRequest(response: ServerResponse, createInput: (request: RequestId) => EntryInput): void {
        const { pendingRequests } = this.dependencies;
        const requestId = pendingRequests.open(createInput, content => sendEntryResponse(response, content));
        if (requestId === undefined) {
            this.refuse(response, createTooManyRequestsProblem());
            return;
        }
        response.once("close", () => pendingRequests.abandon(requestId));
        if (response.destroyed) {
            pendingRequests.abandon(requestId);
        }
    }

    private refuseBody(
        response: ServerResponse,
        failure: BodyFailure,
        restate: (problem: Problem) => Problem,
    ): void {
        if (failure === "caller-disconnected") {
            response.destroy();
            return;
        }
        this.refuse(response, restate(failure));
    }

    private refuse(response: ServerResponse, problem: Problem): void {
        this.dependencies.countRefusal(problem.kind);
        // The rest of the body may still be in transit and will not be read, so the connection cannot be reused.
        sendProblem(response, problem, hasUnreadBody(response.req) ? { "connection": "close" } : {});
    }
}

function getSubmission(request: RoutedRequest): string {
    return request.params["submission"] ?? "";
}
