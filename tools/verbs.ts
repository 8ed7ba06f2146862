#!/usr/bin/env node
import {readFileSync} from 'node:fs';
import process from 'node:process';
import ts from 'typescript';
import {listFiles} from './files.js';

/** Checks that the name of every function and method in the source begins with a verb of docs/VERBS.md; prints violations and exits with 1 if there are any. */
const folders = ['src', 'standins', 'bench', 'rigs', 'faults', 'tools', 'platform'];
const verbs = readVerbs('docs/VERBS.md');
const violations = folders.flatMap(folder => listFiles(folder, '.ts').flatMap(file => checkFile(file)));
for (const violation of violations) {
	console.error(violation);
}

process.exitCode = violations.length > 0 ? 1 : 0;

function readVerbs(file: string): Set<string> {
	const rows = readFileSync(file, 'utf8').matchAll(/^\| (?<verb>[a-z]+) \|/gmv);
	return new Set([...rows].map(row => row.groups?.verb ?? ''));
}

function checkFile(file: string): string[] {
	const source = ts.createSourceFile(file, readFileSync(file, 'utf8'), ts.ScriptTarget.ES2022, true);
	const findings: string[] = [];
	const onNode = (node: ts.Node) => {
		const name = getFunctionName(node);
		if (name !== undefined && !hasAllowedVerb(name)) {
			const {line} = source.getLineAndCharacterOfPosition(node.getStart());
			findings.push(`${file}:${line + 1}: ${name} does not begin with a verb of docs/VERBS.md`);
		}

		ts.forEachChild(node, onNode);
	};

	onNode(source);
	return findings;
}

function getFunctionName(node: ts.Node): string | undefined {
	// An override takes its name from the base class, which is either checked itself or declared by a library.
	if (ts.isMethodDeclaration(node) && node.modifiers?.some(({kind}) => kind === ts.SyntaxKind.OverrideKeyword)) {
		return undefined;
	}

	if (ts.isFunctionDeclaration(node) || ts.isMethodDeclaration(node)) {
		return node.name?.getText();
	}

	const isFunctionValue = (ts.isVariableDeclaration(node) || ts.isPropertyDeclaration(node))
		&& node.initializer !== undefined && (ts.isArrowFunction(node.initializer) || ts.isFunctionExpression(node.initializer));
	return isFunctionValue ? node.name.getText() : undefined;
}

function hasAllowedVerb(name: string): boolean {
	const verb = /^[#_]*(?<verb>[a-z]+)/v.exec(name)?.groups?.verb;
	// Symbols and quoted names, such as `[Symbol.iterator]`, are prescribed by the language or a library.
	return verb === undefined || verbs.has(verb);
}
