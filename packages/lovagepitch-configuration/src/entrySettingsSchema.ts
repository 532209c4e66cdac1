/**
 * Schema of an entry's settings.
 */
import type { EntrySettings } from "@lovagepitch/types/settings";
import { z } from "zod";
import { portSchema } from "./commonSchemas.js";
import { createPeerSettingsShape } from "./peerSettingsShape.js";

const megabyte = 1024 * 1024;
const maximumBids = 1000;

const policySettingsSchema = z.strictObject({
    startOrder: z.enum(["oldest-first", "shortest-remaining"]).default("shortest-remaining")
        .describe("Which waiting job starts first."),
    bids: z.int().min(1).max(maximumBids).default(2)
        .describe("Number of agents at which an entry with waiting tasks places bids."),
    maximumEjectedShare: z.number().min(0).max(1).default(0.3)
        .describe("Largest share of a service's agents that may be ejected because of failures."),
});

/** Validates an entry's settings and fills in defaults. */
export const entrySettingsSchema = z.strictObject({
    ...createPeerSettingsShape({
        writesPerSecond: 20,
        readsPerSecond: 50,
        manifestPollMilliseconds: 2000,
        registrationRenewMilliseconds: 10_000,
    }),
    callerPort: portSchema.describe("Port for callers, /healthz, /readyz and /metrics."),
    maximumBodyBytes: z.int().min(1024).max(64 * megabyte).default(4 * megabyte)
        .describe("Largest body of a caller's request, in bytes."),
    maximumWaitingTasks: z.int().min(1).max(1_000_000).default(20_000)
        .describe("Tasks that may wait at this entry."),
    maximumAnswerBytes: z.int().min(1024).max(1024 * megabyte).default(64 * megabyte)
        .describe("Memory for finished answers that are kept for resubmissions, in bytes."),
    policy: policySettingsSchema.prefault({}),
}) satisfies z.ZodType<EntrySettings>;
