/**
 * Schema of the settings of the operator's command line.
 */
import type { OperatorSettings } from "@lovagepitch/types/settings";
import { z } from "zod";
import { urlSchema } from "./commonSchemas.js";
import { createPlatformSettingsSchema } from "./platformSettingsSchema.js";

const maximumEntries = 256;

/** Validates the operator's settings and fills in defaults. */
export const operatorSettingsSchema = z.strictObject({
    platform: createPlatformSettingsSchema({ writesPerSecond: 5, readsPerSecond: 20 }),
    entries: z.array(urlSchema).min(1).max(maximumEntries)
        .describe("Base addresses of the entries' ports for callers."),
}) satisfies z.ZodType<OperatorSettings>;
