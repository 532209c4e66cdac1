/**
 * The platform's repositories as an entry uses them.
 */
import { ClaimRepository } from "@lovagepitch/platform/claimRepository";
import { SystemDelay } from "@lovagepitch/platform/delay";
import { HandoverRepository } from "@lovagepitch/platform/handoverRepository";
import { HttpObjectStore } from "@lovagepitch/platform/httpObjectStore";
import { HttpTable } from "@lovagepitch/platform/httpTable";
import { ManifestRepository } from "@lovagepitch/platform/manifestRepository";
import type { ObjectStore } from "@lovagepitch/platform/objectStore";
import { PlatformConnection } from "@lovagepitch/platform/platformConnection";
import { RegistryRepository } from "@lovagepitch/platform/registryRepository";
import { RetryPolicy } from "@lovagepitch/platform/retryPolicy";
import type { TableService } from "@lovagepitch/platform/tableService";
import type { EntrySettings } from "@lovagepitch/types/settings";
import type { Clock } from "@lovagepitch/utils/clock";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";

/** The platform's services as one process reaches them. */
export interface PlatformServices {
    readonly table: TableService;
    readonly objects: ObjectStore;
    /** Closes every connection to the platform. */
    readonly close: () => Promise<void>;
}

/** The repositories of one process. */
export interface PlatformClients {
    readonly registry: RegistryRepository;
    readonly manifests: ManifestRepository;
    readonly claims: ClaimRepository;
    readonly handovers: HandoverRepository;
}

/**
 * Reaches the platform over HTTP.
 *
 * @param settings - the entry's settings
 * @param clock - source of time
 * @param random - source of jitter
 * @returns the services
 */
export function connectPlatform(settings: EntrySettings, clock: Clock, random: RandomSource): PlatformServices {
    const connection = new PlatformConnection(settings.platform, clock, random, new SystemDelay());
    return {
        table: new HttpTable(connection),
        objects: new HttpObjectStore(connection),
        close: () => connection.close(),
    };
}

/**
 * Makes the repositories over the platform's services.
 *
 * @param services - the services
 * @param settings - the entry's settings
 * @param clock - source of time
 * @param random - source of jitter
 * @param codec - reads submission ids
 * @returns the repositories
 */
export function createPlatformClients(
    { table, objects }: PlatformServices,
    settings: EntrySettings,
    clock: Clock,
    random: RandomSource,
    codec: SubmissionCodec,
): PlatformClients {
    const retries = new RetryPolicy(random, new SystemDelay());
    const { resubmissionWindowMilliseconds } = settings;
    return {
        registry: new RegistryRepository(table, retries, clock),
        manifests: new ManifestRepository(table, retries),
        claims: new ClaimRepository(table, retries, clock, codec, { resubmissionWindowMilliseconds }),
        handovers: new HandoverRepository(objects, retries),
    };
}
