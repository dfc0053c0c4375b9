import gts from 'gts';

export default [
  {ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**']},
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: false,
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {
              from: 'package',
              name: ['test', 'it', 'describe'],
              package: 'node:test',
            },
          ],
        },
      ],
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-process-exit': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'no-constant-condition': ['error', {checkLoops: false}],
    },
  },
  {
    files: ['**/*.mjs', '**/*.js'],
    languageOptions: {
      sourceType: 'module',
      globals: {process: 'readonly', console: 'readonly', URL: 'readonly'},
    },
    rules: {'n/no-process-exit': 'off', 'n/no-unpublished-import': 'off'},
  },
];
