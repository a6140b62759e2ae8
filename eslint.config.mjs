import tseslint from "typescript-eslint";

export default tseslint.config(
  { ignores: ["**/dist/**", "**/node_modules/**", "scripts/**", "target/**", "eslint.config.mjs"] },
  {
    files: ["packages/**/*.ts", "platform/**/*.ts"],
    extends: [...tseslint.configs.recommendedTypeChecked],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      // Methods of a service interface may be asynchronous in one class and not in another.
      "@typescript-eslint/require-await": "off",
      // Parameters that an interface demands and a class does not need start with an underscore.
      "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
      // `describe` and `test` of node:test return promises that the runner itself awaits.
      "@typescript-eslint/no-floating-promises": ["error", {
        allowForKnownSafeCalls: [{
          from: "package",
          package: "node:test",
          name: ["test", "describe", "it", "suite"],
        }],
      }],
    },
  },
);
