/**
 * The manifest in the platform's table: one document with a version that only increases.
 */
import type { Manifest, VersionedManifest } from "@lovagepitch/types/manifest";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { listOf } from "@lovagepitch/utils/validateValue";
import { z } from "zod";
import { type AcceptedManifestVersion, ManifestApplyError } from "./manifestApplyError.js";
import type { PlatformError } from "./platformError.js";
import { parseRow } from "./registryRows.js";
import type { RetryPolicy } from "./retryPolicy.js";
import type { ConditionalWrite, TableRow, TableService, WriteCondition } from "./tableService.js";

const manifestPrefix = "manifest/";
const currentKey = `${manifestPrefix}current`;
const historyKey = `${manifestPrefix}history`;
/** Number of accepted changes whose digests are kept, so that a repeated apply is detected. */
const historyLength = 50;

const manifestSchema: z.ZodType<VersionedManifest> = z.object({
    version: z.int().min(1),
    manifest: z.looseObject({
        availabilityZones: listOf(z.string()),
        teams: listOf(z.looseObject({ name: z.string() })),
        services: listOf(z.looseObject({ name: z.string() })),
    }).transform(manifest => manifest as unknown as Manifest),
    digest: z.string(),
    appliedBy: z.string(),
});

const historySchema = z.object({
    version: z.int().min(1),
    /** Newest first. */
    accepted: listOf(z.object({ version: z.int(), digest: z.string(), appliedBy: z.string() })),
});

type ManifestHistory = z.infer<typeof historySchema>;

/** A manifest that an operator applies. */
export interface ManifestUpdate {
    /** Version that the change is based on; 0 for the first manifest. */
    readonly baseVersion: number;
    readonly manifest: Manifest;
    /** Digest of the manifest's canonical text. */
    readonly digest: string;
    readonly appliedBy: string;
}

interface StoredManifest {
    readonly current: VersionedManifest | undefined;
    readonly history: ManifestHistory | undefined;
    readonly currentCondition: WriteCondition;
    readonly historyCondition: WriteCondition;
}

/** Reads and updates the manifest. */
export class ManifestRepository {
    /**
     * @param table - the platform's table
     * @param retries - attempts and backoff of an update
     */
    public constructor(private readonly table: TableService, private readonly retries: RetryPolicy) {}

    /**
     * Reads the manifest.
     *
     * @returns the newest accepted manifest, undefined when there is none, or the error when it could not be read
     */
    public async read(): Promise<Result<VersionedManifest | undefined, PlatformError>> {
        const row = await this.table.read(currentKey);
        return row.andThen(stored => stored === undefined ? Ok(undefined) : parseRow(stored, manifestSchema));
    }

    /**
     * Reads the newest version without the document, for frequent polling.
     *
     * @returns the newest accepted version, 0 when there is none, or the error when it could not be read
     */
    public async readVersion(): Promise<Result<number, PlatformError>> {
        const row = await this.table.read(historyKey);
        if (row.err) {
            return row;
        }
        if (row.val !== undefined) {
            return parseRow(row.val, historySchema).map(history => history.version);
        }
        const current = await this.read();
        return current.map(manifest => manifest?.version ?? 0);
    }

    /**
     * Commits a manifest if its base version is still the newest; idempotent by digest on the same base version.
     *
     * @param update - the manifest and its base version
     * @returns the accepted manifest, or the error when it is not known to be accepted
     */
    public async apply(update: ManifestUpdate): Promise<Result<VersionedManifest, ManifestApplyError>> {
        let mayBeAccepted = false;
        for (let attempt = 0; attempt < this.retries.maximumAttempts; attempt += 1) {
            await this.retries.waitBefore(attempt);
            const stored = await this.readStored();
            if (stored.err) {
                return Err(ManifestApplyError.fromPlatform(stored.val, mayBeAccepted));
            }
            const outcome = evaluateUpdate(update, stored.val, mayBeAccepted);
            if (outcome !== undefined) {
                return outcome;
            }
            const accepted = createVersionedManifest(update);
            const written = await this.table.write(createWrites(accepted, stored.val));
            if (written.ok) {
                return Ok(accepted);
            }
            if (written.val.kind === "throttled" || written.val.kind === "invalid") {
                return Err(ManifestApplyError.fromPlatform(written.val, mayBeAccepted));
            }
            mayBeAccepted = mayBeAccepted || written.val.kind === "unavailable";
        }
        const message = "The table keeps failing; the manifest may have been accepted, and applying it again is safe";
        return Err(new ManifestApplyError("unavailable", message));
    }

    private async readStored(): Promise<Result<StoredManifest, PlatformError>> {
        const rows = await this.table.list(manifestPrefix);
        if (rows.err) {
            return rows;
        }
        const currentRow = rows.val.find(row => row.key === currentKey);
        const historyRow = rows.val.find(row => row.key === historyKey);
        const current = currentRow === undefined ? Ok(undefined) : parseRow(currentRow, manifestSchema);
        if (current.err) {
            return current;
        }
        const history = historyRow === undefined ? Ok(undefined) : parseRow(historyRow, historySchema);
        if (history.err) {
            return history;
        }
        return Ok({
            current: current.val,
            history: history.val,
            currentCondition: createCondition(currentRow),
            historyCondition: createCondition(historyRow),
        });
    }
}

function createCondition(row: TableRow | undefined): WriteCondition {
    return row === undefined ? { kind: "absent" } : { kind: "etag", etag: row.etag };
}

function createVersionedManifest(update: ManifestUpdate): VersionedManifest {
    return {
        version: update.baseVersion + 1,
        manifest: update.manifest,
        digest: update.digest,
        appliedBy: update.appliedBy,
    };
}

function createWrites(accepted: VersionedManifest, stored: StoredManifest): readonly ConditionalWrite[] {
    const { version, digest, appliedBy } = accepted;
    const earlier = stored.history?.accepted ?? [];
    const history: ManifestHistory = {
        version,
        accepted: [{ version, digest, appliedBy }, ...earlier].slice(0, historyLength),
    };
    return [
        { key: currentKey, condition: stored.currentCondition, value: accepted },
        { key: historyKey, condition: stored.historyCondition, value: history },
    ];
}

/** Compares an update with the stored manifest; returns undefined when the update has to be written. */
function evaluateUpdate(
    update: ManifestUpdate,
    stored: StoredManifest,
    mayBeAccepted: boolean,
): Result<VersionedManifest, ManifestApplyError> | undefined {
    const { current, history } = stored;
    const newest = findNewest(stored);
    if (newest === undefined) {
        // When both rows were deleted, the base version is the only record of the versions that processes have read.
        return undefined;
    }
    const wanted = createVersionedManifest(update);
    if (current?.version === wanted.version && newest.version === wanted.version && current.digest === update.digest) {
        return Ok(current);
    }
    const earlier = history?.accepted.find(accepted => accepted.version === wanted.version);
    if (earlier?.digest === update.digest && newest.version > wanted.version) {
        return mayBeAccepted ? Ok(wanted) : Err(createSuperseded(wanted.version, newest));
    }
    if (newest.version === update.baseVersion) {
        return undefined;
    }
    return Err(current === newest ? createConflict(update.baseVersion, newest) : createDeletedConflict(newest));
}

function findNewest(
    { current, history }: StoredManifest,
): VersionedManifest | ManifestHistory["accepted"][number] | undefined {
    const newestAccepted = history?.accepted[0];
    if (current === undefined || newestAccepted === undefined) {
        return current ?? newestAccepted;
    }
    return current.version >= newestAccepted.version ? current : newestAccepted;
}

function createConflict(baseVersion: number, currentManifest: AcceptedManifestVersion): ManifestApplyError {
    const { version, appliedBy } = currentManifest;
    const message = `Version ${version} by ${appliedBy} is in force, not the base version ${baseVersion}; `
        + `show version ${version}, merge the change into it, and apply with that base version`;
    return new ManifestApplyError("conflict", message, { version, appliedBy });
}

function createDeletedConflict(currentManifest: AcceptedManifestVersion): ManifestApplyError {
    const { version, appliedBy } = currentManifest;
    const message = `The document of version ${version} by ${appliedBy} was deleted from the table; `
        + `apply with base version ${version}, so that versions keep increasing`;
    return new ManifestApplyError("conflict", message, { version, appliedBy });
}

function createSuperseded(wanted: number, currentManifest: AcceptedManifestVersion): ManifestApplyError {
    const { version, appliedBy } = currentManifest;
    const message = `This manifest was accepted as version ${wanted}, and version ${version} by ${appliedBy} has `
        + `replaced it; show version ${version}, and apply the missing changes on top of it`;
    return new ManifestApplyError("superseded", message, { version, appliedBy });
}
