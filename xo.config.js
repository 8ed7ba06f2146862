/** XO's own rules and formatter, with the brief's lines put before them. */
const config = [
	{ignores: ['dist/**']},
	{
		rules: {
			// The brief wants the names that a reader of the language expects, its customary short ones included.
			'unicorn/prevent-abbreviations': 'off',
			// Procedures run their steps one after another; each step waits for the one before it.
			'no-await-in-loop': 'off',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// The brief wants type imports kept apart from the others.
			'import-x/no-duplicates': ['error', {'prefer-inline': false}],
			'import-x/consistent-type-specifier-style': ['error', 'prefer-top-level'],
			'@typescript-eslint/consistent-type-imports': ['error', {fixStyle: 'separate-type-imports'}],
		},
	},
	{
		files: ['src/errors/errors.ts'],
		rules: {
			// The error library declares its classes as constants; a class has a class's name.
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['**/wire.ts'],
		rules: {
			// Field names and nulls are those of the protocol with callers, engines or the platform.
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			'unicorn/no-null': 'off',
		},
	},
	{
		files: ['platform/**/*.ts', 'standins/fleet/**/*.ts', 'soak/**/*.ts'],
		rules: {
			// Field names are those of the users' platform.
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['**/test/**/*.ts'],
		rules: {
			// Chai's property assertions are expressions.
			'@typescript-eslint/no-unused-expressions': 'off',
		},
	},
];

export default config;
