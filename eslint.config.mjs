import tsdoc from "eslint-plugin-tsdoc";
import tseslint from "typescript-eslint";

/** Syntax that no source file uses. */
const restrictedSyntax = [{
    selector: ":not(BinaryExpression) > Literal[raw='null']",
    message: "Use undefined; convert null at the library's edge.",
}];

/** Ways to validate a value from outside the process without a bound on what a wrong one costs. */
const unboundedValidation = [
    {
        selector: "CallExpression[callee.property.name=/^safe(Parse|ParseAsync|Decode)$/]",
        message: "Use validateValue, which ends at the first fault.",
    },
    {
        selector: "CallExpression[callee.object.name='z'][callee.property.name=/^(array|set|map)$/]",
        message: "Use listOf, whose validation ends at the first faulty element.",
    },
];

/** Further ways to read such a value without a bound. */
const unboundedReading = [
    ...unboundedValidation,
    {
        selector: "CallExpression[callee.object.name='JSON'][callee.property.name='parse']",
        message: "Use parseUntrustedJson, which bounds the memory of the value.",
    },
    {
        selector: "CallExpression[callee.property.name=/^(push|unshift|min|max|apply)$/] > SpreadElement",
        message: "A call takes a limited number of arguments; use concat or a loop.",
    },
];

export default tseslint.config(
    { ignores: ["**/dist/**", "target/**", "**/node_modules/**", "admin/**", "*.mjs"] },
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: { tsdoc },
        rules: {
            "tsdoc/syntax": "error",
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "no-restricted-syntax": ["error", ...restrictedSyntax],
            "no-restricted-imports": ["error", {
                paths: ["node:child_process", "node:cluster", "node:worker_threads"],
            }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "variableLike", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "variable", modifiers: ["const", "exported"], format: ["camelCase", "PascalCase"] },
                { selector: "parameter", modifiers: ["unused"], format: ["camelCase"], leadingUnderscore: "allow" },
            ],
            "@typescript-eslint/explicit-member-accessibility": "off",
            "@typescript-eslint/explicit-module-boundary-types": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "max-lines": ["error", 400],
            "max-lines-per-function": ["error", { max: 70, skipBlankLines: true, skipComments: true }],
        },
    },
    {
        // Programs of the users' platform and what they are built from.
        files: ["platform/src/**", "packages/lovagepitch-direct/src/**", "packages/lovagepitch-utils/src/**"],
        ignores: ["**/__tests__/**"],
        rules: { "no-restricted-syntax": ["error", ...restrictedSyntax, ...unboundedReading] },
    },
    {
        // Processes and clients of the interface with stored jobs, which bound their texts by bytes.
        files: ["packages/lovagepitch-{agent,links,platform}/src/**"],
        ignores: ["**/__tests__/**"],
        rules: { "no-restricted-syntax": ["error", ...restrictedSyntax, ...unboundedValidation] },
    },
    {
        // The launcher of tests and of the demo starts processes; the product never does.
        files: ["packages/lovagepitch-testing/src/launcher/**", "packages/lovagepitch-bench/src/**"],
        rules: { "no-restricted-imports": "off" },
    },
    {
        files: ["**/__tests__/**"],
        rules: { "max-lines-per-function": "off" },
    },
);
