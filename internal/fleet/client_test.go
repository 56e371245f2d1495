package fleet

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// TestOpenAIClientLibrary checks that the published OpenAI client library can
// complete a chat, read a stream, list the models and decode a refusal through
// the running programs.
func TestOpenAIClientLibrary(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t, 1, 1, 0)
	client := openai.NewClient(option.WithBaseURL(f.VMs[0].APIURL+"/v1"), option.WithAPIKey(APIKeyNorte), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model: "chat-small", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("milk is out")},
	}
	chat, err := client.Chat.Completions.New(ctx, params)
	is.NoErr(err)
	is.Equal(chat.Model, "chat-small@1")
	is.True(chat.Usage.CompletionTokens > 0)

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	is.NoErr(stream.Err())
	is.Equal(acc.Choices[0].Message.Content, chat.Choices[0].Message.Content)
	is.Equal(acc.Usage.CompletionTokens, chat.Usage.CompletionTokens)

	models, err := client.Models.List(ctx)
	is.NoErr(err)
	is.Equal(len(models.Data), 3)

	params.Model = "chat-small@9"
	_, err = client.Chat.Completions.New(ctx, params)
	var refused *openai.Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.StatusCode, 403)
	is.True(strings.Contains(string(refused.DumpResponse(true)), "version-not-allowed"))
}
