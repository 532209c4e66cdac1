/**
 * Read access to the registered agents for commands.
 */
import type { AgentRegistration } from "@lovagepitch/types/registry";
import type { Result } from "@lovagepitch/utils/result";
import type { CommandFailure } from "./exitCode.js";

/** Lists the agents in the platform's registry. */
export abstract class AgentDirectory {
    /**
     * Reads the agents whose registration has the state `serving`.
     *
     * @returns the registrations of these agents, or the failure of the read
     */
    public abstract listServingAgents(): Promise<Result<readonly AgentRegistration[], CommandFailure>>;
}
