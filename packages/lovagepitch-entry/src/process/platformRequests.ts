/**
 * Performs the core's requests to the platform and passes the results to the core as inputs.
 */
import { validateManifest } from "@lovagepitch/configuration/validateManifest";
import type { Incarnation } from "@lovagepitch/types/identity";
import type { EventLog } from "@lovagepitch/utils/logger";
import type { EntryInput, HandoverOutcome } from "../core/entryInput.js";
import type { EntryOutput } from "../core/entryOutput.js";
import type { PlatformClients } from "./platformClients.js";
import type { StoreHealth } from "./storeHealth.js";

/** Constructor arguments of the requests. */
export interface PlatformRequestsDependencies {
    readonly clients: PlatformClients;
    readonly storeHealth: StoreHealth;
    readonly eventLog: EventLog;
    /** Passes an input to the core. */
    readonly accept: (input: EntryInput) => void;
    /** Version of the current manifest; 0 before there is one. */
    readonly getConfigurationVersion: () => number;
}

/** Requests to the platform on behalf of the core. */
export class PlatformRequests {
    /**
     * @param dependencies - repositories, and a function that passes inputs to the core
     */
    public constructor(private readonly dependencies: PlatformRequestsDependencies) {}

    /**
     * Reads the manifest if the platform has a newer one.
     *
     * @returns a promise that resolves when the core has the newer manifest, or none could be read
     */
    public async readManifest(): Promise<void> {
        const { clients, storeHealth, eventLog, accept } = this.dependencies;
        const version = storeHealth.record("readManifestVersion", await clients.manifests.readVersion());
        if (version.err || version.val <= this.dependencies.getConfigurationVersion()) {
            return;
        }
        const manifest = storeHealth.record("readManifest", await clients.manifests.read());
        if (manifest.err || manifest.val === undefined) {
            return;
        }
        const valid = validateManifest(manifest.val.manifest);
        if (valid.err) {
            const fields = { version: manifest.val.version, reason: valid.val.message };
            eventLog.logEvent("error", "the accepted manifest is invalid and stays unused; apply a valid one", fields);
            return;
        }
        accept({ type: "manifestAccepted", manifest: { ...manifest.val, manifest: valid.val } });
    }

    /**
     * Reads the registry.
     *
     * @returns true when the core has the registry, false when it has the input that it is unavailable
     */
    public async readRegistry(): Promise<boolean> {
        const { clients, storeHealth, accept } = this.dependencies;
        const registry = storeHealth.record("readRegistry", await clients.registry.read());
        accept(registry.ok ? { type: "registryRead", registry: registry.val } : { type: "registryUnavailable" });
        return registry.ok;
    }

    /**
     * Claims a caller's key.
     *
     * @param output - key, job digest and submission to bind
     * @returns a promise that resolves when the core has the result
     */
    public async claimKey(output: Extract<EntryOutput, { readonly type: "claimKey" }>): Promise<void> {
        const { clients, storeHealth, accept } = this.dependencies;
        const { request, key, jobDigest, submission } = output;
        const claim = await clients.claims.claim({ ...key, jobDigest, submission });
        const binding = storeHealth.record("claimKey", claim);
        accept({
            type: "claimResolved",
            request,
            outcome: binding.ok ? { kind: "bound", ...binding.val } : { kind: "unavailable" },
        });
    }

    /**
     * Reads the handover object of a stopped process.
     *
     * @param kind - answers of an entry, or the ledger of an agent
     * @param incarnation - incarnation of the stopped process
     * @returns a promise that resolves when the core has the result
     */
    public async readHandover(kind: "answers" | "ledger", incarnation: Incarnation): Promise<void> {
        const outcome = kind === "answers" ? await this.readAnswers(incarnation) : await this.readLedger(incarnation);
        this.dependencies.accept({ type: "handoverRead", incarnation, outcome });
    }

    private async readAnswers(incarnation: Incarnation): Promise<HandoverOutcome> {
        const { clients, storeHealth } = this.dependencies;
        const answers = storeHealth.record("readAnswers", await clients.handovers.readAnswers(incarnation));
        if (answers.err) {
            return { kind: "unavailable" };
        }
        return answers.val === undefined ? { kind: "absent" } : { kind: "answers", handover: answers.val };
    }

    private async readLedger(incarnation: Incarnation): Promise<HandoverOutcome> {
        const { clients, storeHealth } = this.dependencies;
        const ledger = storeHealth.record("readLedger", await clients.handovers.readLedger(incarnation));
        if (ledger.err) {
            return { kind: "unavailable" };
        }
        return ledger.val === undefined ? { kind: "absent" } : { kind: "ledger", handover: ledger.val };
    }
}
