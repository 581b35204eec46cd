import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** Packages from the lowest layer to the highest. */
const LAYERS = [
  'common',
  'scheduling',
  'state',
  'coordination',
  'protocol',
  'transport',
  'gateway',
];

/** Headers and paths of the users' platform; only platform/ may contain them. */
const PLATFORM_NAMES =
  '/x-response-seal|x-not-executed|x-expected-instance|x-token-count|x-credential|\\/v1\\/kv-/i';

/** Each layer may import only the layers below it. */
const layerRules = LAYERS.map((layer, level) => ({
  files: [`packages/${layer}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            group: [
              ...LAYERS.slice(level),
              'daemon',
              'platform',
              'cli',
              'stand-ins',
              'bench',
            ].map(name => `@fescuespool/${name}`),
            message: `The ${layer} layer may import only layers below it.`,
          },
        ],
      },
    ],
  },
}));

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      'target/**',
      '**/*.d.ts',
      '**/node_modules/**',
      'docs/api/**',
    ],
  },
  ...tseslint.configs.recommended,
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    plugins: {jsdoc},
    rules: {
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          contexts: [
            'ExportNamedDeclaration > VariableDeclaration',
            'ExportNamedDeclaration > TSInterfaceDeclaration',
            'ExportNamedDeclaration > TSTypeAliasDeclaration',
            'ExportNamedDeclaration > FunctionDeclaration',
            'ExportNamedDeclaration > ClassDeclaration',
          ],
          require: {ClassDeclaration: true, FunctionDeclaration: true},
        },
      ],
      '@typescript-eslint/consistent-type-imports': [
        'error',
        {fixStyle: 'separate-type-imports'},
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'TSEnumDeclaration',
          message: 'Use a constant object (`as const`) instead of an enum.',
        },
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use a named export instead of a default export.',
        },
        {
          selector: `Literal[value=${PLATFORM_NAMES}]`,
          message: 'Use headers and paths of the platform only in platform/.',
        },
      ],
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'prefer-const': 'error',
      'no-var': 'error',
      'max-lines': ['error', {max: 400}],
    },
  },
  {
    files: ['platform/src/**/*.ts'],
    rules: {
      'no-restricted-syntax': 'off',
      'no-restricted-imports': [
        'error',
        {patterns: ['@fescuespool/*/src/*', '@fescuespool/*/dist/*']},
      ],
    },
  },
  {files: ['**/*.test.ts'], rules: {'max-lines': 'off'}},
  ...layerRules,
);
