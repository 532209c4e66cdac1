/**
 * Schema of the batches that processes send each other. Unknown fields are removed.
 */
import type { JobRequest, JsonValue } from "@lovagepitch/types/job";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import type { PeerBatch, PeerMessage } from "@lovagepitch/types/peerMessage";
import { listOf } from "@lovagepitch/utils/validateValue";
import { z } from "zod";

/** Deepest nesting of a payload or an output. */
const maximumDepth = 64;
const maximumNameLength = 1_000;
const maximumTextLength = 100_000;
const maximumTasks = 10_000;

const name = z.string().max(maximumNameLength);
const text = z.string().max(maximumTextLength);
const count = z.number().int().min(0);
const amount = z.number().min(0);
const indexes = listOf(count).check(z.maxLength(maximumTasks));

/** Tells whether a value's nesting stays within a limit, so that recursive code cannot overflow the stack. */
function isWithinDepth(value: unknown, depth: number): boolean {
    if (typeof value !== "object" || value === null) {
        return true;
    }
    if (depth === 0) {
        return false;
    }
    const items: unknown[] = Array.isArray(value) ? value : Object.values(value);
    return items.every(item => isWithinDepth(item, depth - 1));
}

const json = z.custom<JsonValue>(value => value !== undefined && isWithinDepth(value, maximumDepth));

const execution = z.enum(["succeeded", "failed", "not-run", "may-have-run"]);
const refusal = z.enum([
    "busy",
    "not-eligible",
    "not-permitted",
    "sealed",
    "leaving",
    "configuration-behind",
    "backend-unavailable",
    "recalled",
    "deadline-passed",
    "not-registered",
    "out-of-order",
]);

const reports = listOf(z.object({
    index: count,
    report: z.discriminatedUnion("state", [
        z.object({ state: z.literal("standing-by") }),
        z.object({ state: z.literal("running") }),
        z.object({ state: z.literal("succeeded"), output: json }),
        z.object({ state: z.literal("failed"), reason: text }),
        z.object({ state: z.literal("refused"), refusal, startSequence: count }),
        z.object({ state: z.literal("unknown") }),
        z.object({ state: z.literal("forgotten") }),
    ]),
})).check(z.maxLength(maximumTasks));

const load = z.object({
    slots: count,
    runningTasks: count,
    standingByTasks: count,
    standByLimit: count,
    suspect: z.boolean(),
    leaving: z.boolean(),
});

const job = z.object({
    team: name,
    service: name,
    kind: name,
    deadlineMilliseconds: amount,
    idempotent: z.boolean(),
    tasks: listOf(z.object({
        payload: json,
        cores: amount,
        memoryMegabytes: amount,
        expectedMilliseconds: amount,
    })).check(z.maxLength(maximumTasks)),
}) satisfies z.ZodType<JobRequest>;

const answer = z.object({
    submission: name,
    state: z.enum(["complete", "failed"]),
    reason: text.optional(),
    configurationVersion: count,
    tasks: listOf(z.object({
        index: count,
        state: execution,
        output: json.optional(),
        worker: name.optional(),
        availabilityZone: name.optional(),
    })).check(z.maxLength(maximumTasks)),
    nextSubmission: name.optional(),
});

const problem = z.object({
    kind: z.enum([
        "malformed-request",
        "body-too-large",
        "invalid-submission",
        "expired-submission",
        "submission-mismatch",
        "unknown-submission",
        "unknown-service",
        "unknown-kind",
        "unknown-team",
        "no-permitted-place",
        "task-too-large",
        "too-many-tasks",
        "deadline-unreachable",
        "quota-exceeded",
        "overloaded",
        "no-configuration",
        "platform-unavailable",
        "keeper-unreachable",
        "outcome-unknown",
        "stopping",
    ]),
    status: z.number().int().min(400).max(599),
    detail: text,
    remedy: text,
    execution: z.enum(["not-run", "may-have-run", "unknown-yet"]),
    retryAfterMilliseconds: amount.optional(),
    nextSubmission: name.optional(),
});

const progress = z.object({
    submission: name,
    state: z.enum(["issued", "waiting", "running", "collecting", "cancelling"]),
    finishedTasks: count,
    tasks: count,
});

const manifest = z.object({
    version: count,
    digest: name,
    appliedBy: text,
    manifest: z.object({
        availabilityZones: listOf(name),
        teams: listOf(z.object({
            name,
            quota: z.object({ guaranteedSlots: count, maximumWaitingTasks: count }),
        })),
        services: listOf(z.object({
            name,
            kinds: listOf(z.object({
                name,
                availabilityZones: listOf(name),
                teams: z.optional(listOf(name)),
                maximumCores: amount,
                maximumMemoryMegabytes: amount,
                maximumDeadlineMilliseconds: amount,
                taskTimeoutMilliseconds: amount,
            })),
        })),
    }),
}) satisfies z.ZodType<VersionedManifest>;

const operation = z.enum(["submit", "query", "cancel"]);

const message = z.discriminatedUnion("type", [
    z.object({
        type: z.literal("startTasks"),
        submission: name,
        agent: name,
        startSequence: count,
        team: name,
        service: name,
        kind: name,
        deadlineAtMilliseconds: amount,
        tasks: listOf(z.object({ index: count, payload: json, expectedMilliseconds: amount })).check(
            z.maxLength(maximumTasks),
        ),
    }),
    z.object({ type: z.literal("recallTasks"), submission: name, startSequence: count, indexes }),
    z.object({ type: z.literal("queryTasks"), submission: name, indexes }),
    z.object({ type: z.literal("sealSubmissions"), submissions: listOf(name) }),
    z.object({ type: z.literal("acknowledgeOutcomes"), submission: name, indexes, declinedSlots: count }),
    z.object({ type: z.literal("placeBid"), service: name, oldestArrivalMilliseconds: amount, waitingTasks: count }),
    z.object({ type: z.literal("declineOffer"), slots: count }),
    z.object({ type: z.literal("reportTasks"), submission: name, reports, load, offeredSlots: count }),
    z.object({ type: z.literal("reportSeal"), submission: name, reports, incomplete: z.boolean() }),
    z.object({ type: z.literal("offerSlots"), slots: count, load }),
    z.object({
        type: z.literal("announceAgent"),
        worker: name,
        rack: name,
        availabilityZone: name,
        cores: amount,
        memoryMegabytes: amount,
        registrationNumber: count,
        services: listOf(name),
        load,
    }),
    z.object({ type: z.literal("ping") }),
    z.object({ type: z.literal("pong") }),
    z.object({
        type: z.literal("forwardRequest"),
        submission: name,
        keeper: name,
        request: z.discriminatedUnion("operation", [
            z.object({ operation: z.literal("submit"), job }),
            z.object({ operation: z.literal("query") }),
            z.object({ operation: z.literal("cancel") }),
        ]),
    }),
    z.object({ type: z.literal("forwardAccepted"), submission: name }),
    z.object({ type: z.literal("forwardRefused"), submission: name }),
    z.object({
        type: z.literal("forwardResult"),
        submission: name,
        operation,
        result: z.discriminatedUnion("kind", [
            z.object({ kind: z.literal("answer"), answer }),
            z.object({ kind: z.literal("problem"), problem }),
            z.object({ kind: z.literal("progress"), progress }),
        ]),
    }),
    z.object({ type: z.literal("requestManifest") }),
    z.object({ type: z.literal("sendManifest"), manifest }),
]) satisfies z.ZodType<PeerMessage>;

/** Validates a received batch. */
export const peerBatchSchema = z.object({
    sender: z.object({ address: name, incarnation: name }),
    role: z.enum(["entry", "agent"]),
    configurationVersion: count,
    messages: listOf(message),
}) satisfies z.ZodType<PeerBatch>;
