import { ClaimRepository } from "@lovagepitch/platform/claimRepository";
import { type Delay, SystemDelay } from "@lovagepitch/platform/delay";
import { HandoverRepository } from "@lovagepitch/platform/handoverRepository";
import { HttpObjectStore } from "@lovagepitch/platform/httpObjectStore";
import { HttpTable } from "@lovagepitch/platform/httpTable";
import { ManifestRepository } from "@lovagepitch/platform/manifestRepository";
import type { ObjectStore } from "@lovagepitch/platform/objectStore";
import { PlatformConnection } from "@lovagepitch/platform/platformConnection";
import { RegistryRepository } from "@lovagepitch/platform/registryRepository";
import { RetryPolicy } from "@lovagepitch/platform/retryPolicy";
import type { TableService } from "@lovagepitch/platform/tableService";
import { ManualClock, SystemClock } from "@lovagepitch/utils/clock";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import { MemoryObjectStore, MemoryTable } from "../standIns/memoryPlatform.js";
import { PlatformFaults } from "../standIns/platformFaults.js";
import { startPlatformServer } from "../standIns/platformServer.js";
import { VirtualDelay } from "./platformServer.virtualDelay.js";

/** Start time of the manual clocks in the tests, in milliseconds since the Unix epoch. */
export const startMilliseconds = 1_700_000_000_000;
/** Resubmission window of all tests, in milliseconds. */
export const windowMilliseconds = 600_000;
const highRatePerSecond = 100_000;
const longTimeoutMilliseconds = 20_000;

/** Platform stand-in under test, as one process accesses it. */
export interface PlatformFixture {
    readonly table: TableService;
    readonly objects: ObjectStore;
    readonly faults: PlatformFaults;
    readonly delay: Delay;
    /** Connects to the same platform with a long request timeout. */
    readonly createWithLongTimeout: () => PlatformFixture;
    readonly close: () => Promise<void>;
}

/** Repositories of one process. */
export interface Repositories {
    readonly registry: RegistryRepository;
    readonly manifests: ManifestRepository;
    readonly claims: ClaimRepository;
    readonly handovers: HandoverRepository;
}

/** Kinds of platform stand-in that the same scenarios run against. */
export type PlatformKind = "memory" | "http";

export async function startPlatform(
    kind: string,
    requestTimeoutMilliseconds: number = longTimeoutMilliseconds,
): Promise<PlatformFixture> {
    return kind === "memory" ? startMemoryPlatform() : startHttpPlatform(requestTimeoutMilliseconds);
}

function startMemoryPlatform(): PlatformFixture {
    const delay = new VirtualDelay();
    const faults = new PlatformFaults(milliseconds => delay.wait(milliseconds));
    const fixture: PlatformFixture = {
        table: new MemoryTable(faults),
        objects: new MemoryObjectStore(faults),
        faults,
        delay,
        createWithLongTimeout: () => fixture,
        close: () => Promise.resolve(),
    };
    return fixture;
}

async function startHttpPlatform(requestTimeoutMilliseconds: number): Promise<PlatformFixture> {
    const server = await startPlatformServer();
    const connections: PlatformConnection[] = [];
    const createFixture = (timeoutMilliseconds: number): PlatformFixture => {
        const connection = connect(server.url, timeoutMilliseconds);
        connections.push(connection);
        return {
            table: new HttpTable(connection),
            objects: new HttpObjectStore(connection),
            faults: server.faults,
            delay: new VirtualDelay(),
            createWithLongTimeout: () => createFixture(longTimeoutMilliseconds),
            close: async () => {
                await Promise.all(connections.map(opened => opened.close()));
                await server.close();
            },
        };
    };
    return createFixture(requestTimeoutMilliseconds);
}

export function connect(url: string, requestTimeoutMilliseconds: number): PlatformConnection {
    const settings = {
        url,
        requestTimeoutMilliseconds,
        writesPerSecond: highRatePerSecond,
        readsPerSecond: highRatePerSecond,
    };
    return new PlatformConnection(settings, new SystemClock(), new RandomSource(1), new SystemDelay());
}

/** Encodes the submission ids of the tests. */
export const codec = new SubmissionCodec("a key for tests with thirty-two characters");

export function createSubmission(sequence: number, expiresAtMilliseconds: number): string {
    const owner = { address: "127.0.0.1:7001", incarnation: "00ff" };
    return codec.encode({ owner, sequence, expiresAtMilliseconds, registryVersion: 1 });
}

export function createRepositories(
    platform: { readonly table: TableService; readonly objects: ObjectStore; readonly delay: Delay },
    seed = 1,
    clock = new ManualClock(startMilliseconds),
): Repositories {
    const retries = new RetryPolicy(new RandomSource(seed), platform.delay);
    return {
        registry: new RegistryRepository(platform.table, retries, clock),
        manifests: new ManifestRepository(platform.table, retries),
        claims: new ClaimRepository(platform.table, retries, clock, codec, {
            resubmissionWindowMilliseconds: windowMilliseconds,
        }),
        handovers: new HandoverRepository(platform.objects, retries),
    };
}
