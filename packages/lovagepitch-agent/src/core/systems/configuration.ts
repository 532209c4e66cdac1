/**
 * The manifest in force, and retrieval of newer versions from peers or the platform's table.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import type { TickContext } from "./tickContext.js";

/** Time that a peer has to send its manifest before the platform's table is read instead, in milliseconds. */
const peerResponseTimeoutMilliseconds = 300;
/** Interval between reads of the platform's table while a peer has a newer version, in milliseconds. */
const readIntervalMilliseconds = 5_000;
/** Interval between reads of the platform's table while no manifest is in force, in milliseconds. */
const initialReadIntervalMilliseconds = 1_000;

/**
 * Puts a manifest in force if it is newer than the current one.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param manifest - a validated manifest with its version and digest
 */
export function adoptManifest(context: TickContext, manifest: VersionedManifest): void {
    const { tables } = context;
    if (manifest.version <= tables.configurationVersion) {
        return;
    }
    tables.manifest = manifest;
    context.logDecision("configured", `version ${manifest.version}, digest ${manifest.digest}`);
}

/**
 * Requests the manifest of a peer that reports a newer version, unless such a request is pending.
 *
 * @param context - state, settings, time and outputs of the current tick
 * @param sender - address of the peer
 * @param version - configuration version in force at the peer
 */
export function requestNewerManifest(context: TickContext, sender: PeerAddress, version: number): void {
    const { configuration, configurationVersion } = context.tables;
    if (version <= configurationVersion) {
        return;
    }
    const isRequestPending = configuration.newestKnownVersion >= version
        && context.now < configuration.lastRequestAtMilliseconds + peerResponseTimeoutMilliseconds;
    if (isRequestPending) {
        return;
    }
    context.tables.configuration = {
        newestKnownVersion: Math.max(version, configuration.newestKnownVersion),
        lastRequestAtMilliseconds: context.now,
        nextReadAtMilliseconds: configuration.nextReadAtMilliseconds ?? context.now + peerResponseTimeoutMilliseconds,
    };
    context.send(sender, { type: "requestManifest" });
}

/**
 * Reads the platform's table while no manifest is in force, or when no peer has sent a known newer version in time.
 *
 * @param context - state, settings, time and outputs of the current tick
 */
export function refreshConfiguration(context: TickContext): void {
    const { configuration, configurationVersion } = context.tables;
    if (configurationVersion > 0 && configuration.newestKnownVersion <= configurationVersion) {
        context.tables.configuration = { ...configuration, nextReadAtMilliseconds: undefined };
        return;
    }
    const interval = configurationVersion === 0 ? initialReadIntervalMilliseconds : readIntervalMilliseconds;
    // The process reads the table at its start, so the first read here waits for one interval.
    let nextReadAtMilliseconds = configuration.nextReadAtMilliseconds ?? context.now + interval;
    if (nextReadAtMilliseconds <= context.now) {
        context.outputs.push({ type: "readManifest" });
        nextReadAtMilliseconds = context.now + interval;
    }
    context.tables.configuration = { ...configuration, nextReadAtMilliseconds };
    context.wakeAt(nextReadAtMilliseconds);
}
