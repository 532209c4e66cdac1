/**
 * Submission to a chosen entry, without the client package.
 */
import type { JobAnswer, JobRequest } from "@lovagepitch/types/job";
import { toCanonicalJson } from "@lovagepitch/utils/digest";
import { request } from "undici";

/**
 * Submits a job under a submission id and waits for the answer.
 *
 * @param url - base URL of the entry
 * @param submission - submission id
 * @param job - job to submit
 * @returns id, state and tasks of the answer as canonical JSON, or undefined if the status code is not 200
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
