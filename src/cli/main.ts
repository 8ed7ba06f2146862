#!/usr/bin/env node
import {execute} from '@oclif/core';

/** The program `crocus`: the operators' command line. */
await execute({dir: import.meta.url});
