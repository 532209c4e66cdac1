/**
 * Schemas of the handover objects.
 */
import type { AnswersHandover, LedgerHandover } from "@lovagepitch/types/ledger";
import { listOf } from "@lovagepitch/utils/validateValue";
import { z } from "zod";

const taskRefusalSchema = z.enum([
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

const jsonValueSchema = z.json();

const taskReportStateSchema = z.discriminatedUnion("state", [
    z.object({ state: z.literal("standing-by") }),
    z.object({ state: z.literal("running") }),
    z.object({ state: z.literal("succeeded"), output: jsonValueSchema }),
    z.object({ state: z.literal("failed"), reason: z.string() }),
    z.object({
        state: z.literal("refused"),
        refusal: taskRefusalSchema,
        startSequence: z.number().int().nonnegative(),
    }),
    z.object({ state: z.literal("unknown") }),
    z.object({ state: z.literal("forgotten") }),
]);

/** Validates the object that an agent writes when it shuts down. */
export const ledgerHandoverSchema: z.ZodType<LedgerHandover> = z.object({
    incarnation: z.string(),
    submissions: listOf(z.object({
        submission: z.string(),
        reports: listOf(z.object({ index: z.int().min(0), report: taskReportStateSchema })),
    })),
    lowWaterMarks: z.record(z.string(), z.number()),
});

const jobAnswerSchema = z.object({
    submission: z.string(),
    state: z.enum(["complete", "failed"]),
    reason: z.string().optional(),
    configurationVersion: z.int().min(0),
    tasks: listOf(z.object({
        index: z.int().min(0),
        state: z.enum(["succeeded", "failed", "not-run", "may-have-run"]),
        output: jsonValueSchema.optional(),
        worker: z.string().optional(),
        availabilityZone: z.string().optional(),
    })),
    nextSubmission: z.string().optional(),
});

/** Validates the object that an entry writes when it shuts down. */
export const answersHandoverSchema: z.ZodType<AnswersHandover> = z.object({
    incarnation: z.string(),
    answers: listOf(z.object({ submission: z.string(), jobDigest: z.string(), answer: jobAnswerSchema })),
});
