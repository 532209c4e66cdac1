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
    // Size and nesting of payloads are checked before the schema, which only requires that they are present.
    payload: z.custom<JsonValue>(value => value !== undefined, { error: "add any JSON value, null included" }),
    cores: coresSchema,
    memoryMegabytes: megabytesSchema,
    expectedMilliseconds: z.number().nonnegative().max(maximumDurationMilliseconds),
});

/** Validates the structure of a job; `validateJob` checks its limits before. */
export const jobSchema = z.strictObject({
    team: nameSchema,
    service: nameSchema,
    kind: nameSchema,
    deadlineMilliseconds: durationSchema,
    idempotent: z.boolean().default(false),
    tasks: z.array(taskSchema).min(1),
});
