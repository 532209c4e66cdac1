/**
 * The configuration in force, and catching up with a newer one.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import type { TickContext } from "./tickContext.js";

/** Time for a peer to send its manifest before the platform's table is read, in milliseconds. */
const peerResponseTimeoutMilliseconds = 300;
/** Pause between readings of the platform's table while this agent is behind, in milliseconds. */
const readIntervalMilliseconds = 5_000;
/** Pause between readings while there is no manifest at all, in milliseconds. */
const initialReadIntervalMilliseconds = 1_000;

/**
 * Puts a manifest in force unless it is older than the present one.
 *
 * @param context - the tick
 * @param manifest - an accepted manifest
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
 * Asks a peer for its manifest when it has a newer one.
 *
 * @param context - the tick
 * @param sender - the peer
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
 * Reads the platform's table while there is no manifest, and when no peer has sent a newer one.
 *
 * @param context - the tick
 */
export function refreshConfiguration(context: TickContext): void {
    const { configuration, configurationVersion } = context.tables;
    if (configurationVersion > 0 && configuration.newestKnownVersion <= configurationVersion) {
        context.tables.configuration = { ...configuration, nextReadAtMilliseconds: undefined };
        return;
    }
    const interval = configurationVersion === 0 ? initialReadIntervalMilliseconds : readIntervalMilliseconds;
    // The process reads the table when it starts, so the first repetition comes after a pause.
    let nextReadAtMilliseconds = configuration.nextReadAtMilliseconds ?? context.now + interval;
    if (nextReadAtMilliseconds <= context.now) {
        context.outputs.push({ type: "readManifest" });
        nextReadAtMilliseconds = context.now + interval;
    }
    context.tables.configuration = { ...configuration, nextReadAtMilliseconds };
    context.wakeAt(nextReadAtMilliseconds);
}
