/**
 * Schema of the address, timeout and request rates of the platform.
 */
import type { PlatformSettings } from "@lovagepitch/types/settings";
import { z } from "zod";
import { durationSchema, urlSchema } from "./commonSchemas.js";

const defaultRequestTimeoutMilliseconds = 2000;
const maximumRequestsPerSecond = 10_000;

/** Default request rates of one process. */
export interface DefaultRates {
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
}

/**
 * Creates the schema for one role; the default rates of each role fit the number of its processes.
 *
 * @param rates - the role's default rates
 * @returns the schema of the platform's settings
 */
export function createPlatformSettingsSchema(rates: DefaultRates): z.ZodType<PlatformSettings> {
    const rateSchema = z.number().positive().max(maximumRequestsPerSecond);
    return z.strictObject({
        url: urlSchema.describe("Base address of the platform's table and object store."),
        requestTimeoutMilliseconds: durationSchema.default(defaultRequestTimeoutMilliseconds)
            .describe("Time after which a request to the platform counts as unanswered."),
        writesPerSecond: rateSchema.default(rates.writesPerSecond)
            .describe("Writes this process may make each second, on average."),
        readsPerSecond: rateSchema.default(rates.readsPerSecond)
            .describe("Reads this process may make each second, on average."),
    });
}
