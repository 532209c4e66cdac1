/**
 * A submission at one chosen entry, past the client package.
 */
import type { JobAnswer, JobRequest } from "@lovagepitch/types/job";
import { toCanonicalJson } from "@lovagepitch/utils/digest";
import { request } from "undici";

/**
 * Submits a job under an id and waits for its answer.
 *
 * @param url - base address of the entry
 * @param submission - the id
 * @param job - the job
 * @returns state and tasks of the answer as canonical JSON, or undefined when there was none
 */
export async function submitToEntry(url: string, submission: string, job: JobRequest): Promise<string | undefined> {
    const response = await request(`${url}/v1/submissions/${submission}`, {
        method: "PUT",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(job),
    });
    const answer = await response.body.json() as JobAnswer;
    const { state, tasks } = answer;
    return response.statusCode === 200 ? toCanonicalJson({ submission: answer.submission, state, tasks }) : undefined;
}
