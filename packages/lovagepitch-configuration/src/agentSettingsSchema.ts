/**
 * Schema of an agent's settings.
 */
import type { AgentSettings } from "@lovagepitch/types/settings";
import { z } from "zod";
import {
    durationSchema,
    nameSchema,
    portSchema,
    positiveCoresSchema,
    positiveMegabytesSchema,
} from "./commonSchemas.js";
import { createPeerSettingsShape } from "./peerSettingsShape.js";

const megabyte = 1024 * 1024;
const maximumStandByLimit = 64;

/** Validates an agent's settings and fills in defaults. */
export const agentSettingsSchema = z.strictObject({
    ...createPeerSettingsShape({
        writesPerSecond: 1,
        readsPerSecond: 2,
        manifestPollMilliseconds: 4000,
        registrationRenewMilliseconds: 60_000,
    }),
    localPort: portSchema.describe("Port on 127.0.0.1 for the backend server, /healthz, /readyz and /metrics."),
    worker: nameSchema.describe("Name of the worker that this agent runs on."),
    rack: nameSchema.describe("Name of the worker's rack."),
    cores: positiveCoresSchema.describe("Cores of the worker."),
    memoryMegabytes: positiveMegabytesSchema.describe("Memory of the worker."),
    standByLimit: z.int().min(0).max(maximumStandByLimit).default(3)
        .describe("Largest number of tasks that may be queued at the agent for a slot."),
    maximumLedgerBytes: z.int().min(1024).max(1024 * megabyte).default(16 * megabyte)
        .describe("Memory for the ledger, in bytes."),
    backendServerTimeoutMilliseconds: durationSchema.default(5000)
        .describe("Time without an announcement of the backend server after which it counts as gone."),
}) satisfies z.ZodType<AgentSettings>;
