/**
 * Adapters from the platform's repositories to the interfaces of the commands.
 */
import type { ManifestRepository } from "@lovagepitch/platform/manifestRepository";
import type { RegistryRepository } from "@lovagepitch/platform/registryRepository";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import type { AgentRegistration } from "@lovagepitch/types/registry";
import type { Result } from "@lovagepitch/utils/result";
import { AgentDirectory } from "./agentDirectory.js";
import { createPlatformFailure } from "./createPlatformFailure.js";
import type { CommandFailure } from "./exitCode.js";
import { type ManifestProposal, ManifestStore } from "./manifestStore.js";

/** Manifest store in the platform's table. */
export class PlatformManifestStore extends ManifestStore {
    /**
     * @param repository - repository of the manifest rows
     */
    public constructor(private readonly repository: ManifestRepository) {
        super();
    }

    /** {@inheritDoc ManifestStore.read} */
    public override async read(): Promise<Result<VersionedManifest | undefined, CommandFailure>> {
        const manifest = await this.repository.read();
        return manifest.mapErr(createPlatformFailure);
    }

    /** {@inheritDoc ManifestStore.apply} */
    public override async apply(proposal: ManifestProposal): Promise<Result<VersionedManifest, CommandFailure>> {
        const accepted = await this.repository.apply(proposal);
        return accepted.mapErr(createPlatformFailure);
    }
}

/** Agent directory in the platform's table. */
export class PlatformAgentDirectory extends AgentDirectory {
    /**
     * @param repository - repository of the registry rows
     */
    public constructor(private readonly repository: RegistryRepository) {
        super();
    }

    /** {@inheritDoc AgentDirectory.listServing} */
    public override async listServingAgents(): Promise<Result<readonly AgentRegistration[], CommandFailure>> {
        const registry = await this.repository.read();
        return registry
            .map(({ agents }) => agents.filter(agent => agent.state === "serving"))
            .mapErr(createPlatformFailure);
    }
}
