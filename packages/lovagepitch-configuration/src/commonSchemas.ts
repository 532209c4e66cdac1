/**
 * Schemas shared by manifests, settings and jobs.
 */
import { z } from "zod";

const maximumCores = 4096;
const maximumMegabytes = 64 * 1024 * 1024;

/** Longest duration in a document, in milliseconds: one day. */
export const maximumDurationMilliseconds = 24 * 60 * 60 * 1000;

/** Names of zones, teams, services, kinds, workers and racks, which appear in logs, paths and row keys. */
export const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, {
    error: "use 1 to 64 letters, digits, dots, hyphens or underscores, the first a letter or digit",
});

/** A positive whole number of milliseconds, at most a day. */
export const durationSchema = z.int().positive().max(maximumDurationMilliseconds);

/** Number of processor cores; fractions are allowed. */
export const coresSchema = z.number().nonnegative().max(maximumCores);

/** Number of processor cores of a worker or of a limit; greater than 0. */
export const positiveCoresSchema = z.number().positive().max(maximumCores);

/** Memory in megabytes; fractions are allowed. */
export const megabytesSchema = z.number().nonnegative().max(maximumMegabytes);

/** Memory of a worker or of a limit, in megabytes; greater than 0. */
export const positiveMegabytesSchema = z.number().positive().max(maximumMegabytes);

/** A TCP port; 0 lets the operating system choose one. */
export const portSchema = z.int().min(0).max(65_535);

/** An IPv4 address. */
export const addressSchema = z.ipv4({ error: "use an IPv4 number such as 10.0.0.7" });

/** Base URL of an HTTP service, without a slash at its end. */
export const urlSchema = z.string().max(2048).regex(/^https?:\/\/[^\s/?#]+(\/[^\s?#]*[^\s/?#])?$/, {
    error: "use an address such as http://10.0.0.7:8080, without a slash at its end",
});
