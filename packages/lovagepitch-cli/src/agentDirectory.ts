/**
 * The registered agents, as the commands see them.
 */
import type { AgentRegistration } from "@lovagepitch/types/registry";
import type { Result } from "@lovagepitch/utils/result";
import type { CommandFailure } from "./exitCode.js";

/** Lists agents. */
export abstract class AgentDirectory {
    /**
     * Reads the agents that have not left.
     *
     * @returns the agents, or the failure
     */
    public abstract listServing(): Promise<Result<readonly AgentRegistration[], CommandFailure>>;
}
