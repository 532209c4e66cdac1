/**
 * The platform's repositories as an entry uses them.
 */
import { ClaimRepository } from "@lovagepitch/platform/claimRepository";
import { SystemDelay } from "@lovagepitch/platform/delay";
import { HandoverRepository } from "@lovagepitch/platform/handoverRepository";
import { HttpObjectStore } from "@lovagepitch/platform/httpObjectStore";
import { HttpTable } from "@lovagepitch/platform/httpTable";
import { ManifestRepository } from "@lovagepitch/platform/manifestRepository";
import { PlatformConnection } from "@lovagepitch/platform/platformConnection";
import { RegistryRepository } from "@lovagepitch/platform/registryRepository";
import { RetryPolicy } from "@lovagepitch/platform/retryPolicy";
import type { EntrySettings } from "@lovagepitch/types/settings";
import type { Clock } from "@lovagepitch/utils/clock";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";

/** The repositories of one process. */
export interface PlatformClients {
    readonly connection: PlatformConnection;
    readonly registry: RegistryRepository;
    readonly manifests: ManifestRepository;
    readonly claims: ClaimRepository;
    readonly handovers: HandoverRepository;
}

/**
 * Makes the repositories over one connection.
 *
 * @param settings - the entry's settings
 * @param clock - source of time
 * @param random - source of jitter
 * @param codec - reads submission ids
 * @returns the repositories
 */
export function createPlatformClients(
    settings: EntrySettings,
    clock: Clock,
    random: RandomSource,
    codec: SubmissionCodec,
): PlatformClients {
    const delay = new SystemDelay();
    const connection = new PlatformConnection(settings.platform, clock, random, delay);
    const table = new HttpTable(connection);
    const retries = new RetryPolicy(random, delay);
    const { resubmissionWindowMilliseconds } = settings;
    return {
        connection,
        registry: new RegistryRepository(table, retries, clock),
        manifests: new ManifestRepository(table, retries),
        claims: new ClaimRepository(table, retries, clock, codec, { resubmissionWindowMilliseconds }),
        handovers: new HandoverRepository(new HttpObjectStore(connection), retries),
    };
}
