/**
 * Creates the repositories through which an entry uses the platform.
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

/** Services of the platform that one process is connected to. */
export interface PlatformServices {
    readonly table: TableService;
    readonly objects: ObjectStore;
    /** Closes every connection to the platform. */
    readonly close: () => Promise<void>;
}

/** Repositories of one process. */
export interface PlatformClients {
    readonly registry: RegistryRepository;
    readonly manifests: ManifestRepository;
    readonly claims: ClaimRepository;
    readonly handovers: HandoverRepository;
}

/**
 * Connects to the platform over HTTP.
 *
 * @param settings - entry settings with the address of the platform
 * @param clock - source of time
 * @param random - source of jitter
 * @returns table and object store of the platform
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
 * Creates the repositories over the platform's services.
 *
 * @param services - table and object store of the platform
 * @param settings - entry settings with the resubmission window
 * @param clock - source of time
 * @param random - source of jitter
 * @param codec - decodes submission ids
 * @returns repositories of the registry, manifests, claims and handovers
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
