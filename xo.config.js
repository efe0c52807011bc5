/**
Formatter and linter settings. XO's own rules hold; each departure names the line of the house style that asks for it.
*/
const config = [
	{
		ignores: ['dist/**', 'target/**'],
	},
	{
		files: ['packages/*/package.json', 'platform/package.json'],
		rules: {
			// Workspaces resolve each other by `exports`.
			'package-json/no-nested-exports': 'off',
		},
	},
	{
		files: ['**/package.json'],
		rules: {
			// Dependencies are pinned, so that a build is the same each time.
			'package-json/dependency-version-range': 'off',
			'package-json/no-empty-fields': 'off',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// House style: namespace imports.
			'unicorn/import-style': 'off',
			'import-x/no-namespace': 'off',
			// `null` is what JSON documents and Node callbacks carry.
			'@typescript-eslint/no-restricted-types': 'off',
			'unicorn/no-null': 'off',
			// The developers' page gives `invariant(condition, message)`, and data are plain nouns.
			'unicorn/consistent-boolean-name': 'off',
			// The test folder's name, `__tests__`, is that of the layout the developers' page asks for.
			'unicorn/filename-case': ['error', {case: 'kebabCase', checkDirectories: false}],
			// `Ok` and `Err` are functions of the results library.
			'new-cap': ['error', {newIsCap: true, capIsNew: false}],
			// The developers' page: `@param` only where the type doesn't tell.
			'jsdoc/require-param': 'off',
			'jsdoc/require-param-description': 'off',
			'jsdoc/check-param-names': 'off',
			// Small arithmetic nests calls, as do the builders of fast-check's cases.
			'unicorn/max-nested-calls': 'off',
			// A class reads from its public methods down to its private ones.
			'unicorn/consistent-class-member-order': 'off',
			// Tests are tables of cases; their names come from the table.
			'ava/no-identical-title': 'off',
		},
	},
	{
		files: ['**/__tests__/**/*.ts'],
		rules: {
			// The test tools are declared once, at the root.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;
