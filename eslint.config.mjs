import tsdoc from "eslint-plugin-tsdoc";
import tseslint from "typescript-eslint";

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
            "no-restricted-syntax": ["error", {
                selector: ":not(BinaryExpression) > Literal[raw='null']",
                message: "Use undefined; convert null at the library's edge.",
            }],
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
        // The launcher of tests and of the demo starts processes; the product never does.
        files: ["packages/lovagepitch-testing/src/launcher/**", "packages/lovagepitch-bench/src/**"],
        rules: { "no-restricted-imports": "off" },
    },
    {
        files: ["**/__tests__/**"],
        rules: { "max-lines-per-function": "off" },
    },
);
