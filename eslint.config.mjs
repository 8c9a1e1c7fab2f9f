import tseslint from 'typescript-eslint';

const oneExport = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { many: 'A file has one export; this one has {{count}}.' },
  },
  create(context) {
    let count = 0;
    return {
      ExportNamedDeclaration(node) {
        count += node.declaration ? 1 : node.specifiers.length;
      },
      ExportAllDeclaration() {
        count += 2;
      },
      'Program:exit'(node) {
        if (count > 1) context.report({ node, messageId: 'many', data: { count } });
      },
    };
  },
};

export default tseslint.config(
  { ignores: ['node_modules', 'build', 'dist', 'target', '.tap', 'scripts', 'eslint.config.mjs'] },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    plugins: { house: { rules: { 'one-export': oneExport } } },
    rules: {
      'house/one-export': 'error',
      'no-restricted-syntax': [
        'error',
        { selector: 'ExportDefaultDeclaration', message: 'Use a named export.' },
        { selector: 'TSPropertySignature[readonly=false]', message: 'Fields of types are read-only.' },
        { selector: 'TSArrayType:not(TSTypeOperator > TSArrayType)', message: 'Array types are read-only.' },
      ],
      '@typescript-eslint/explicit-member-accessibility': ['error', { accessibility: 'explicit' }],
      '@typescript-eslint/explicit-function-return-type': ['error', { allowExpressions: true }],
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
    },
  },
  {
    // The library's codecs print the received value, which may be huge, or nested too deeply to be printed at all.
    files: ['packages/*/src/**', 'platform/src/**'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          name: 'purify-ts',
          importNames: [
            'array',
            'boolean',
            'date',
            'enumeration',
            'exactly',
            'intersect',
            'lazy',
            'map',
            'maybe',
            'nonEmptyList',
            'nullable',
            'nullType',
            'number',
            'oneOf',
            'optional',
            'record',
            'string',
            'tuple',
          ],
          message: 'Use the codecs of packages/codec, whose errors stay short.',
        },
      ],
    },
  },
  {
    files: ['packages/*/test/**', 'platform/test/**'],
    rules: {
      'no-restricted-syntax': 'off',
      '@typescript-eslint/no-floating-promises': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
    },
  },
);
