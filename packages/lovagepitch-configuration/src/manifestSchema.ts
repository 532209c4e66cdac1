/**
 * Schema of the manifest.
 */
import type { Manifest } from "@lovagepitch/types/manifest";
import { z } from "zod";
import { durationSchema, nameSchema, positiveCoresSchema, positiveMegabytesSchema } from "./commonSchemas.js";

const maximumAvailabilityZones = 64;
const maximumTeams = 1000;
const maximumServices = 1000;
const maximumKinds = 1000;
const maximumSlots = 1_000_000;
const maximumWaitingTasks = 10_000_000;

const quotaSchema = z.strictObject({
    guaranteedSlots: z.int().min(0).max(maximumSlots)
        .describe("Slots up to which the team has priority, over the whole deployment."),
    maximumWaitingTasks: z.int().min(1).max(maximumWaitingTasks)
        .describe("Tasks of the team that may wait, over the whole deployment."),
});

const teamSchema = z.strictObject({
    name: nameSchema,
    quota: quotaSchema,
});

const kindSchema = z.strictObject({
    name: nameSchema,
    availabilityZones: z.array(nameSchema).min(1).max(maximumAvailabilityZones)
        .describe("Availability zones that the kind may run in."),
    teams: z.array(nameSchema).min(1).max(maximumTeams).optional()
        .describe("Teams that may submit the kind; all teams when absent."),
    maximumCores: positiveCoresSchema.describe("Largest number of cores that a task may declare."),
    maximumMemoryMegabytes: positiveMegabytesSchema.describe("Largest memory that a task may declare."),
    maximumDeadlineMilliseconds: durationSchema.describe("Longest deadline that a job may ask for."),
    taskTimeoutMilliseconds: durationSchema.describe("Time that one task may run before it counts as failed."),
});

const serviceSchema = z.strictObject({
    name: nameSchema,
    kinds: z.array(kindSchema).min(1).max(maximumKinds),
});

/** Validates the structure of a manifest; `validateManifest` also checks references and duplicate names. */
export const manifestSchema = z.strictObject({
    availabilityZones: z.array(nameSchema).min(1).max(maximumAvailabilityZones)
        .describe("Every availability zone of the deployment."),
    teams: z.array(teamSchema).min(1).max(maximumTeams),
    services: z.array(serviceSchema).min(1).max(maximumServices),
}) satisfies z.ZodType<Manifest>;
