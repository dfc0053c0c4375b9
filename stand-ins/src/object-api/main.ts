import {parseArgs} from 'node:util';
import {printAddress} from '../common/serve.js';
import {createObjectApiStandIn} from './object-api.js';

const {values} = parseArgs({options: {port: {type: 'string', default: '0'}}});
printAddress(await createObjectApiStandIn({port: Number(values.port)}));
