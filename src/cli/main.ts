#!/usr/bin/env node
import {execute} from '@oclif/core';

/** The program `crocus`, the operators' command line. oclif finds the commands through `package.json`. */
await execute({dir: import.meta.url});
