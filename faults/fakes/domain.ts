import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import type {DomainRecord} from '../../src/authority/index.js';
import type {Deployment} from '../../src/deployment/index.js';
