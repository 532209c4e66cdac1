/**
 * Schema of a caller's job.
 */
import type { JsonValue } from "@lovagepitch/types/job";
import { z } from "zod";
import {
    coresSchema,
    durationSchema,
    maximumDurationMilliseconds,
    megabytesSchema,
    nameSchema,
} from "./commonSchemas.js";

const taskSchema = z.strictObject({
    // Payloads are measured before the schema runs; here they only have to be present.
    payload: z.custom<JsonValue>(value => value !== undefined, { error: "add any JSON value, null included" }),
    cores: coresSchema,
    memoryMegabytes: megabytesSchema,
    expectedMilliseconds: z.number().nonnegative().max(maximumDurationMilliseconds),
});

/** Checks the shape of a job; `validateJob` checks its limits first. */
export const jobSchema = z.strictObject({
    team: nameSchema,
    service: nameSchema,
    kind: nameSchema,
    deadlineMilliseconds: durationSchema,
    idempotent: z.boolean().default(false),
    tasks: z.array(taskSchema).min(1),
});
