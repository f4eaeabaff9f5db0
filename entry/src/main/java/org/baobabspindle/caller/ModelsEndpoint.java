package org.baobabspindle.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.ModelVersion;
import org.baobabspindle.http.Json;
import org.baobabspindle.serving.EntryTables;

/** Lists the models that a client account may use. */
public final class ModelsEndpoint implements EntryHandler.Endpoint {
    private final EntryTables tables;

    /**
     * Creates the endpoint.
     *
     * @param tables the shared tables
     */
    public ModelsEndpoint(EntryTables tables) {
        this.tables = tables;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        Optional<ClientAccountId> account = CallerAuthenticator.authenticate(tables, exchange);
        if (account.isEmpty()) {
            exchange.respond(Problem.refused(401, "the bearer token belongs to no client account"));
            return;
        }
        Set<ModelVersion> models = tables.log().with(v -> v.state()
                .configuration()
                .accounts()
                .get(account.get().value())
                .models());
        ObjectNode response = Json.object().put("object", "list");
        ArrayNode data = response.putArray("data");
        new TreeSet<>(models)
                .forEach(m -> data.addObject().put("id", m.toString()).put("object", "model"));
        exchange.respond(200, response);
    }
}
