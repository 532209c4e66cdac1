// Compiles all functions of a bundled program and writes the result to its code cache. Run it with the options of Node.js
// with which the program is run, because V8 rejects a cache of other options.
import { readFileSync, writeFileSync } from "node:fs";
import { setFlagsFromString } from "node:v8";
import { Script } from "node:vm";

const filename = `${process.argv[2]}.bundle.cjs`;
const source = `(function (require, module, exports) {${readFileSync(filename, "latin1")}\n})`;
setFlagsFromString("--no-lazy");
const script = new Script(source, { filename });
// The cache names the options in force when it is created.
setFlagsFromString("--lazy");
writeFileSync(`${filename}.cache`, script.createCachedData());
