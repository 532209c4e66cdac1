/**
 * Results of operations that can fail, from `ts-results`, whose package is CommonJS and has no named exports.
 */
import tsResults, { type Result as TsResult } from "ts-results";

/** Either `Ok` with a value or `Err` with a typed error. */
export type Result<Value, Failure> = TsResult<Value, Failure>;

/** Creates a successful result. */
export const Ok = tsResults.Ok;

/** Creates a failed result. */
export const Err = tsResults.Err;
