/**
 * Settings that entries and agents share.
 */
import type { PeerSettings } from "@lovagepitch/types/settings";
import { z } from "zod";
import { addressSchema, durationSchema, nameSchema, portSchema } from "./commonSchemas.js";
import { createPlatformSettingsSchema, type DefaultRates } from "./platformSettingsSchema.js";

const minimumSubmissionKeyLength = 32;
const maximumSubmissionKeyLength = 1024;
const defaultResubmissionWindowMilliseconds = 600_000;

/** Defaults that differ between entries and agents, because a deployment has many more agents. */
export interface PeerDefaults extends DefaultRates {
    readonly manifestPollMilliseconds: number;
    readonly registrationRenewMilliseconds: number;
}

/** Schemas of the shared settings by name. */
export type PeerSettingsShape = { readonly [Name in keyof PeerSettings]: z.ZodType<PeerSettings[Name]> };

/**
 * Creates the schemas of the shared settings for one role.
 *
 * @param defaults - the role's defaults
 * @returns the schemas by name of the setting
 */
export function createPeerSettingsShape(defaults: PeerDefaults): PeerSettingsShape {
    return {
        address: addressSchema.describe("IP address on which this process listens and other processes reach it."),
        port: portSchema.describe("Port for the system's other processes; 0 lets the operating system choose."),
        availabilityZone: nameSchema.describe("Availability zone that this process runs in."),
        platform: createPlatformSettingsSchema(defaults),
        submissionKey: z.string().min(minimumSubmissionKeyLength).max(maximumSubmissionKeyLength)
            .describe("Key that signs submission ids; the same in every process of a deployment."),
        logLevel: z.enum(["debug", "info", "warn", "error"]).default("info")
            .describe("Least severity that is logged."),
        resubmissionWindowMilliseconds: durationSchema.default(defaultResubmissionWindowMilliseconds)
            .describe("How long an answer or a ledger record is kept for resubmissions."),
        manifestPollMilliseconds: durationSchema.default(defaults.manifestPollMilliseconds)
            .describe("Time between two reads of the manifest's version."),
        registrationRenewMilliseconds: durationSchema.default(defaults.registrationRenewMilliseconds)
            .describe("Time between two renewals of this process's row in the registry."),
    };
}
